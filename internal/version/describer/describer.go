// Package describer holds the value types of the settings in force: teams,
// their services and the routes of each service.
//
// # Usage
//
//	service, ok := settings.Service(describer.ServiceName{Team: "county", Name: "allot"})
//	route := service.Match("POST", "/plots/17")
package describer

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Criticality orders requests by importance; higher values are shed later.
type Criticality uint8

// The criticalities from first shed to last shed.
const (
	Sheddable Criticality = iota
	Normal
	High
	Critical
)

// CriticalityNames lists the written names, indexed by Criticality.
var CriticalityNames = []string{"sheddable", "normal", "high", "critical"}

// String returns the written name.
func (c Criticality) String() string {
	if int(c) < len(CriticalityNames) {
		return CriticalityNames[c]
	}
	return fmt.Sprintf("criticality%d", uint8(c))
}

// ParseCriticality returns the criticality with the given written name.
func ParseCriticality(name string) (Criticality, error) {
	for i, known := range CriticalityNames {
		if known == name {
			return Criticality(i), nil
		}
	}
	return 0, errors.Newf("unknown criticality %q; use one of %s", name, strings.Join(CriticalityNames, ", "))
}

// CrossRegionPolicy tells when calls to a service may use the links between regions.
type CrossRegionPolicy uint8

// The rules for crossing regions.
const (
	// CrossWhenNeeded crosses when the own region has no usable target.
	CrossWhenNeeded CrossRegionPolicy = iota
	// CrossNever keeps calls in the caller's region.
	CrossNever
)

// CrossRegionNames lists the written names, indexed by CrossRegion.
var CrossRegionNames = []string{"whenNeeded", "never"}

// ServiceName identifies one service of one team.
type ServiceName struct {
	Team string
	Name string
}

// String returns team/name.
func (s ServiceName) String() string {
	return s.Team + "/" + s.Name
}

// ParseServiceName reads a name written as team/name.
func ParseServiceName(text string) (ServiceName, error) {
	team, name, found := strings.Cut(text, "/")
	if !found || team == "" || name == "" || strings.Contains(name, "/") {
		return ServiceName{}, errors.Newf("service %q is not of the form team/name", text)
	}
	return ServiceName{
		Team: team,
		Name: name,
	}, nil
}

// Route is one kind of request to a service.
type Route struct {
	Name string
	// Methods are the HTTP methods; empty means all.
	Methods []string
	// Path is the path prefix, matched at segment borders.
	Path        string
	Criticality Criticality
	Idempotent  bool
	Timeout     time.Duration
}

// Service is the settings of one service.
type Service struct {
	Name ServiceName
	// MaxConcurrency caps the concurrency limit of each target; 0 means the
	// slots that the target announces.
	MaxConcurrency int
	// MaxQueue bounds the calls that wait at each target.
	MaxQueue int
	// QueueTimeout bounds the time that a call waits at a target.
	QueueTimeout time.Duration
	// RetryAllowance bounds the additional attempts of one request.
	RetryAllowance uint32
	CrossRegion    CrossRegionPolicy
	Routes         []Route
}

// Defaults of a service without settings of its own.
const (
	DefaultTimeout        = 5 * time.Second
	DefaultQueueTimeout   = 100 * time.Millisecond
	DefaultRetryAllowance = 3
	DefaultMaxQueue       = 64
)

// DefaultService returns the settings of a service that has no document.
func DefaultService(name ServiceName) Service {
	return Service{
		Name:           name,
		MaxQueue:       DefaultMaxQueue,
		QueueTimeout:   DefaultQueueTimeout,
		RetryAllowance: DefaultRetryAllowance,
	}
}

// DefaultRouteName is the name of the route that matches when no listed one does.
const DefaultRouteName = "other"

// Match returns the listed route with the longest matching path. Requests that
// match none get a route of normal criticality that is idempotent only for the
// methods that HTTP defines as safe.
func (s Service) Match(method, path string) Route {
	best := -1
	for i, route := range s.Routes {
		if !route.Matches(method, path) {
			continue
		}
		if best < 0 || len(route.Path) > len(s.Routes[best].Path) {
			best = i
		}
	}
	if best >= 0 {
		return s.Routes[best]
	}
	return Route{
		Name:        DefaultRouteName,
		Path:        "/",
		Criticality: Normal,
		Idempotent:  method == "GET" || method == "HEAD" || method == "OPTIONS",
		Timeout:     DefaultTimeout,
	}
}

// Matches reports whether the route serves a request.
func (r Route) Matches(method, path string) bool {
	if len(r.Methods) > 0 && !containsString(r.Methods, method) {
		return false
	}
	path, _, _ = strings.Cut(path, "?")
	prefix := strings.TrimSuffix(r.Path, "/")
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || path[len(prefix)] == '/'
}

// Overlaps reports whether some request matches both routes equally well.
func (r Route) Overlaps(other Route) bool {
	if strings.TrimSuffix(r.Path, "/") != strings.TrimSuffix(other.Path, "/") {
		return false
	}
	if len(r.Methods) == 0 || len(other.Methods) == 0 {
		return true
	}
	for _, method := range r.Methods {
		if containsString(other.Methods, method) {
			return true
		}
	}
	return false
}

func containsString(list []string, text string) bool {
	for _, item := range list {
		if item == text {
			return true
		}
	}
	return false
}

// Team is the settings that all services of one team share.
type Team struct {
	Name string
	// CrossRegionBytesPerSecond bounds what one node sends to other regions
	// for this team; 0 means no bound.
	CrossRegionBytesPerSecond int64
}

// Settings is one immutable version of all settings.
type Settings struct {
	// Version is one more than the offset of the last record applied.
	Version  int64
	Services map[ServiceName]Service
	Teams    map[string]Team
	// Hosts holds the hosts of each team.
	Hosts map[string]HostTable
}

// MatchHost returns the route that serves a request to a host.
func (s *Settings) MatchHost(host, path string) (HostRoute, bool) {
	for _, table := range s.Hosts {
		if route, ok := table.Match(host, path); ok {
			return route, true
		}
	}
	return HostRoute{}, false
}

// Service returns the settings of the named service, or defaults.
func (s *Settings) Service(name ServiceName) Service {
	if s != nil {
		if service, ok := s.Services[name]; ok {
			return service
		}
	}
	return DefaultService(name)
}

// HasService reports whether the named service has settings of its own.
func (s *Settings) HasService(name ServiceName) bool {
	if s == nil {
		return false
	}
	_, ok := s.Services[name]
	return ok
}

// Team returns the settings of the named team, or defaults.
func (s *Settings) Team(name string) Team {
	if s != nil {
		if team, ok := s.Teams[name]; ok {
			return team
		}
	}
	return Team{
		Name: name,
	}
}

// Copy returns a copy whose maps can be changed independently.
func (s *Settings) Copy() *Settings {
	return &Settings{
		Version:  s.Version,
		Services: maps.Clone(s.Services),
		Teams:    maps.Clone(s.Teams),
		Hosts:    maps.Clone(s.Hosts),
	}
}
