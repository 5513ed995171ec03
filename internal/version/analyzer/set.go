package analyzer

import (
	"maps"
	"slices"
	"strings"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// documentSet holds the documents without errors, for findings about two documents.
type documentSet struct {
	settings *describer.Settings
	// teams holds the teams with a host table, sorted by name.
	teams []string
}

func newDocumentSet(documents []*Document) *documentSet {
	set := &documentSet{
		settings: &describer.Settings{
			Hosts: make(map[string]describer.HostTable),
		},
	}
	for _, document := range documents {
		if document.Content.Hosts == nil || len(document.Errors) > 0 {
			continue
		}
		if _, exists := set.settings.Hosts[document.Path.Team]; !exists {
			set.teams = append(set.teams, document.Path.Team)
		}
		set.settings.Hosts[document.Path.Team] = *document.Content.Hosts
	}
	slices.Sort(set.teams)
	return set
}

// analyzeSharedHosts reports the routes of a host table that get no request, because an earlier
// team lists the same host with the same path.
func (s *documentSet) analyzeSharedHosts(d *Document) {
	if len(d.Errors) > 0 {
		return
	}
	for _, hostNode := range d.root.Member("hosts").Items() {
		host := hostNode.Member("host").Text()
		for _, node := range hostNode.Member("routes").Items() {
			path := node.Member("path").Text()
			if team, ok := s.earlierTeam(d.Path.Team, host, path); ok {
				node.Reportf("route %q gets no request, because team %q lists host %q with the same path %q and comes first by name; use another path or remove one of the routes",
					node.Member("name").Text(), team, host, path)
			}
		}
	}
}

// earlierTeam returns the first team before the given one by name that has a route for the host
// with the same path.
func (s *documentSet) earlierTeam(team, host, path string) (string, bool) {
	for _, other := range s.teams {
		if other >= team {
			break
		}
		for _, route := range s.settings.Hosts[other].Hosts[host] {
			if route.Path == path {
				return other, true
			}
		}
	}
	return "", false
}

// entryRoute is a route of a host that sends requests to a service.
type entryRoute struct {
	team string
	host string
	describer.HostRoute
}

// entryRoutes returns the routes that send requests to a service, in a fixed order. A destination
// with the weight 0 gets none.
func (s *documentSet) entryRoutes(service describer.ServiceName) []entryRoute {
	var entries []entryRoute
	for _, team := range s.teams {
		hosts := s.settings.Hosts[team].Hosts
		for _, host := range slices.Sorted(maps.Keys(hosts)) {
			for _, route := range hosts[host] {
				if sendsTo(route, service) {
					entries = append(entries, entryRoute{
						team:      team,
						host:      host,
						HostRoute: route,
					})
				}
			}
		}
	}
	return entries
}

func sendsTo(route describer.HostRoute, service describer.ServiceName) bool {
	return slices.ContainsFunc(route.Destinations, func(destination describer.Destination) bool {
		return destination.Service == service && destination.Weight > 0
	})
}

// analyzeService reports a service that no route leads to, if the hosts of its team are known, and
// routes of the service with a timeout above those of all routes that lead to them.
func (s *documentSet) analyzeService(d *Document) {
	if _, known := s.settings.Hosts[d.Path.Team]; !known || len(d.Errors) > 0 {
		return
	}
	entries := s.entryRoutes(d.Path.ServiceName())
	if len(entries) == 0 {
		d.root.Reportf("no route in /%s/hosts leads to service %s; add a route to it there, or remove the document if no backend server calls the service by name",
			d.Path.Team, d.Path.ServiceName())
		return
	}
	service := *d.Content.Service
	nodes := d.root.Member("routes").Items()
	for i, route := range service.Routes {
		longest, found := s.longestEntry(entries, service, route)
		if !found || route.Timeout <= longest.Timeout {
			continue
		}
		node := nodes[i].Member("timeout")
		if node == nil {
			node = nodes[i]
		}
		node.Reportf("timeout of route %q is %s, but the routes of hosts that lead to it end requests after %s at most (host %q, route %q); lower it to %s or raise the timeout there",
			route.Name, route.Timeout, longest.Timeout, longest.host, longest.Name, longest.Timeout)
	}
}

// longestEntry returns the entry with the longest timeout of those that lead to a route of the
// service. It reports whether there is one.
func (s *documentSet) longestEntry(entries []entryRoute, service describer.Service, route describer.Route) (entryRoute, bool) {
	var longest entryRoute
	found := false
	for _, entry := range entries {
		if s.leadsTo(entry, service, route) && (!found || entry.Timeout > longest.Timeout) {
			longest, found = entry, true
		}
	}
	return longest, found
}

// commonMethods holds the methods tried for routes that match all methods.
var commonMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// leadsTo reports whether a request exists that the entry sends to the service and that matches the
// route there. The shortest paths with both prefixes show that: those of any other route that
// begin with both prefixes are longer.
func (s *documentSet) leadsTo(entry entryRoute, service describer.Service, route describer.Route) bool {
	prefix := strings.TrimSuffix(route.Path, "/")
	methods := route.Methods
	if len(methods) == 0 {
		methods = commonMethods
	}
	for _, path := range []string{prefix, prefix + "/", entry.Path} {
		team, matched, ok := s.settings.MatchHostTeam(entry.host, path)
		if !ok || team != entry.team || matched.Path != entry.Path {
			continue
		}
		if slices.ContainsFunc(methods, func(method string) bool {
			return service.Match(method, path).Name == route.Name
		}) {
			return true
		}
	}
	return false
}

// analyzeServicePaths reports paths of a service's routes that match no request.
func (d *Document) analyzeServicePaths() {
	for _, node := range d.root.Member("routes").Items() {
		path := node.Member("path")
		if !node.HasFinding(d.Errors) && strings.Contains(path.Text(), "?") {
			path.Reportf("path %q matches no request, because paths are compared without the query; remove the query", path.Text())
		}
	}
}
