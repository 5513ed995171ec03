// Package describer defines the typed settings: the services of each team with
// their routes, the settings of each team, and the routes of each host.
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

// Criticality is the importance of a request. Under overload, requests with a
// lower value are shed first.
type Criticality uint8

// The criticalities, in the order in which they are shed.
const (
	Sheddable Criticality = iota
	Normal
	High
	Critical
)

// CriticalityNames holds the names used in settings documents, indexed by
// Criticality.
var CriticalityNames = []string{"sheddable", "normal", "high", "critical"}

// String returns the name used in settings documents.
func (c Criticality) String() string {
	if int(c) < len(CriticalityNames) {
		return CriticalityNames[c]
	}
	return fmt.Sprintf("criticality%d", uint8(c))
}

// ParseCriticality returns the criticality with the given name.
func ParseCriticality(name string) (Criticality, error) {
	for i, known := range CriticalityNames {
		if known == name {
			return Criticality(i), nil
		}
	}
	return 0, errors.Newf("unknown criticality %q; use one of %s", name, strings.Join(CriticalityNames, ", "))
}

// CrossRegionPolicy decides whether calls to a service may leave the caller's
// region.
type CrossRegionPolicy uint8

// The cross-region policies.
const (
	// CrossWhenNeeded allows calls to other regions only while the caller's
	// region has no usable target.
	CrossWhenNeeded CrossRegionPolicy = iota
	// CrossNever keeps calls in the caller's region.
	CrossNever
)

// CrossRegionNames holds the names used in settings documents, indexed by
// CrossRegionPolicy.
var CrossRegionNames = []string{"whenNeeded", "never"}

// ServiceName identifies one service of one team.
type ServiceName struct {
	Team string
	Name string
}

// String returns the name in the form team/name.
func (s ServiceName) String() string {
	return s.Team + "/" + s.Name
}

// ParseServiceName parses a name of the form team/name.
func ParseServiceName(text string) (ServiceName, error) {
	service, err := SplitServiceName(text)
	if err == nil && strings.Contains(service.Name, "/") {
		return ServiceName{}, errNoServiceName(text)
	}
	return service, err
}

// SplitServiceName parses a name of the form team/name whose second part may contain slashes. The
// operators of the users' platform choose the names of its services.
func SplitServiceName(text string) (ServiceName, error) {
	team, name, _ := strings.Cut(text, "/")
	if team == "" || name == "" {
		return ServiceName{}, errNoServiceName(text)
	}
	return ServiceName{
		Team: team,
		Name: name,
	}, nil
}

func errNoServiceName(text string) error {
	return errors.Newf("service %q is not of the form team/name", text)
}

// Route matches one kind of request to a service and holds its settings.
type Route struct {
	Name string
	// Methods holds the HTTP methods that match; if it is empty, all match.
	Methods []string
	// Path is the path prefix. It matches whole segments only: /a matches /a/b
	// but not /ab.
	Path        string
	Criticality Criticality
	Idempotent  bool
	Timeout     time.Duration
}

// Service holds the settings of one service.
type Service struct {
	Name ServiceName
	// MaxConcurrency is the upper bound of each target's concurrency limit. If
	// it is 0, the bound is the number of slots that the target announces.
	MaxConcurrency int
	// MaxQueue is the maximum number of calls queued at each target.
	MaxQueue int
	// QueueTimeout is the maximum time that a call waits in a target's queue.
	QueueTimeout time.Duration
	// RetryAllowance is the maximum number of additional attempts of one request.
	RetryAllowance uint32
	CrossRegion    CrossRegionPolicy
	Routes         []Route
}

// Default values of settings that a document leaves out.
const (
	DefaultTimeout        = 5 * time.Second
	DefaultQueueTimeout   = 100 * time.Millisecond
	DefaultRetryAllowance = 3
	DefaultMaxQueue       = 64
)

// DefaultService returns the settings of a service without a settings document.
func DefaultService(name ServiceName) Service {
	return Service{
		Name:           name,
		MaxQueue:       DefaultMaxQueue,
		QueueTimeout:   DefaultQueueTimeout,
		RetryAllowance: DefaultRetryAllowance,
	}
}

// DefaultRouteName is the name of the route that Service.Match returns for a
// request that matches no route in the settings.
const DefaultRouteName = "other"

// Match returns the matching route with the longest path. If no route matches,
// it returns a default route of normal criticality, which is idempotent only for
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

// Matches reports whether the route applies to a request. It ignores the query
// of path.
func (r Route) Matches(method, path string) bool {
	if len(r.Methods) > 0 && !contains(r.Methods, method) {
		return false
	}
	path, _, _ = strings.Cut(path, "?")
	prefix := strings.TrimSuffix(r.Path, "/")
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || path[len(prefix)] == '/'
}

// Overlaps reports whether a request exists that matches both routes with the
// same prefix, so that Service.Match could not prefer one of them.
func (r Route) Overlaps(other Route) bool {
	if strings.TrimSuffix(r.Path, "/") != strings.TrimSuffix(other.Path, "/") {
		return false
	}
	if len(r.Methods) == 0 || len(other.Methods) == 0 {
		return true
	}
	for _, method := range r.Methods {
		if contains(other.Methods, method) {
			return true
		}
	}
	return false
}

func contains(list []string, text string) bool {
	for _, item := range list {
		if item == text {
			return true
		}
	}
	return false
}

// Team holds the settings that all services of one team share.
type Team struct {
	Name string
	// CrossRegionBytesPerSecond limits the traffic that one node sends to other
	// regions for this team; 0 means no limit.
	CrossRegionBytesPerSecond int64
}

// Settings is one version of all settings. It is immutable once it is in force.
type Settings struct {
	// Version is the offset of the last applied record plus 1, or the version of
	// the last applied document if settings come from the platform's store.
	Version  int64
	Services map[ServiceName]Service
	Teams    map[string]Team
	// Hosts holds the host table of each team, by team name.
	Hosts map[string]HostTable
}

// MatchHost returns the route for a request to a host. It reports whether a
// route matches. If several teams list the host, the longest path prefix decides,
// and for equal prefixes the first team by name.
func (s *Settings) MatchHost(host, path string) (HostRoute, bool) {
	_, route, found := s.MatchHostTeam(host, path)
	return route, found
}

// MatchHostTeam returns the same route as MatchHost, and the team whose host table has it.
func (s *Settings) MatchHostTeam(host, path string) (string, HostRoute, bool) {
	var best HostRoute
	var bestTeam string
	found := false
	for team, table := range s.Hosts {
		route, ok := table.Match(host, path)
		if !ok {
			continue
		}
		longer := len(route.Path) > len(best.Path)
		if !found || longer || (len(route.Path) == len(best.Path) && team < bestTeam) {
			best, bestTeam, found = route, team, true
		}
	}
	return bestTeam, best, found
}

// Service returns the settings of the named service, or the defaults if it has
// none. The receiver may be nil.
func (s *Settings) Service(name ServiceName) Service {
	if s != nil {
		if service, ok := s.Services[name]; ok {
			return service
		}
	}
	return DefaultService(name)
}

// HasService reports whether the named service has a settings document. The
// receiver may be nil.
func (s *Settings) HasService(name ServiceName) bool {
	if s == nil {
		return false
	}
	_, ok := s.Services[name]
	return ok
}

// Team returns the settings of the named team, or the defaults if it has none. The
// receiver may be nil.
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

// Copy returns a copy with its own maps.
func (s *Settings) Copy() *Settings {
	return &Settings{
		Version:  s.Version,
		Services: maps.Clone(s.Services),
		Teams:    maps.Clone(s.Teams),
		Hosts:    maps.Clone(s.Hosts),
	}
}
