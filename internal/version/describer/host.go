package describer

import (
	"slices"
	"strings"
	"time"
)

// MaxRank is the highest value of HostRoute.Rank, for the least important routes.
const MaxRank = 100

// MaxAttempts is the highest value of HostRoute.MaxTargets. A request reaches fewer backend servers,
// whatever its route permits.
const MaxAttempts = 100

// HostRoute matches one kind of request to a host and holds its settings.
type HostRoute struct {
	Name string
	// Path is the path prefix to match. It begins and ends with a slash.
	Path string
	// Destinations share the requests. If none of them has a weight above 0, requests are refused.
	Destinations []Destination
	Idempotent   bool
	// Timeout is the maximum time that a caller waits for an answer.
	Timeout time.Duration
	// MaxTargets is the maximum number of backend servers that one request may reach.
	// Attempts that reach none do not count.
	MaxTargets int
	// Objective is the latency objective. A later answer is worth less to the
	// caller.
	Objective time.Duration
	// Rank is the importance of the route; 0 is the most important.
	Rank int
	// Public routes take requests without a key where the team has organisations.
	Public bool
}

// Criticality returns the criticality for the route's rank.
func (r HostRoute) Criticality() Criticality {
	return rankCriticality(r.Rank)
}

// rankCriticality returns the criticality for a rank. Rank 0 is critical, and all ranks from
// 3 on are sheddable.
func rankCriticality(rank int) Criticality {
	return Critical - Criticality(min(rank, int(Critical)))
}

// Limits holds the limits for connections of callers. A zero field means no limit.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// HostTable holds the hosts of one team with their routes.
type HostTable struct {
	Team   string
	Limits Limits
	// Organisations is empty if requests need no key.
	Organisations []Organisation
	// Hosts holds the routes of each host, sorted by descending path length.
	Hosts map[string][]HostRoute
}

// SetRoutes sets the routes of a host, replacing earlier ones.
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

// Match returns the host's route with the longest prefix of path. It reports
// whether a route matches.
func (t *HostTable) Match(host, path string) (HostRoute, bool) {
	for _, route := range t.Hosts[host] {
		if strings.HasPrefix(path, route.Path) {
			return route, true
		}
	}
	return HostRoute{}, false
}
