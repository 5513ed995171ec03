package describer

import (
	"slices"
	"strings"
	"time"
)

// MaxRank is the lowest importance that a route may have.
const MaxRank = 100

// Destination is one service that a host's route leads to, with its share of
// the requests.
type Destination struct {
	Service ServiceName
	Weight  int
}

// HostRoute is one kind of request that a host accepts.
type HostRoute struct {
	Name string
	// Path is the prefix of the paths served; it begins and ends with a slash.
	Path         string
	Destinations []Destination
	Idempotent   bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// MaxAttempts bounds the targets to which one request may be sent.
	MaxAttempts int
	// Objective is the time within which an answer has its full value.
	Objective time.Duration
	// Rank orders routes by importance; 0 is the most important.
	Rank int
}

// Criticality returns the criticality that the route's rank stands for.
func (r HostRoute) Criticality() Criticality {
	return Critical - Criticality(min(r.Rank, int(Critical)))
}

// Limits bounds what a caller may send and for how long it may stay idle; zero
// fields do not limit.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// HostTable is the hosts of one team.
type HostTable struct {
	Team   string
	Limits Limits
	// Hosts holds the routes of each host, longest path first.
	Hosts map[string][]HostRoute
}

// SetRoutes adds the routes of a host.
func (t *HostTable) SetRoutes(host string, routes []HostRoute) {
	if t.Hosts == nil {
		t.Hosts = make(map[string][]HostRoute)
	}
	sorted := slices.Clone(routes)
	slices.SortStableFunc(sorted, func(a, b HostRoute) int {
		return len(b.Path) - len(a.Path)
	})
	t.Hosts[host] = sorted
}

// Match returns the host's route with the longest path that begins path.
func (t *HostTable) Match(host, path string) (HostRoute, bool) {
	for _, route := range t.Hosts[host] {
		if strings.HasPrefix(path, route.Path) {
			return route, true
		}
	}
	return HostRoute{}, false
}
