package analyzer

import (
	"net"
	"net/url"
	"strings"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/parser"
)

// usableAttempts is the highest number of backend servers that one request reaches, whatever its
// route permits: the dispatcher sends a request to a second backend server at most once.
const usableAttempts = 2

// analyzeHosts reports hosts and path prefixes that match no request, and limits of routes that
// contradict each other.
func (d *Document) analyzeHosts() {
	for _, node := range d.root.Member("hosts").Items() {
		host := node.Member("host")
		name := host.Text()
		if name == "" {
			continue
		}
		if lower := strings.ToLower(name); lower != name {
			host.Reportf("host %q matches no request, because hosts of requests are compared in lower case; write %q", name, lower)
		}
		if bare, port, err := net.SplitHostPort(name); err == nil {
			host.Reportf("host %q matches no request, because hosts of requests are compared without their port; remove the port %s and write %q", name, port, bare)
		}
		routes := node.Member("routes").Items()
		if len(routes) == 0 && !node.HasFinding(d.Errors) {
			node.Reportf("host %q has no route, so its requests are answered 404; add a route or remove the host", name)
		}
		for _, routeNode := range routes {
			if route, ok := d.findRoute(name, routeNode); ok {
				analyzeHostRoute(routeNode, route)
			}
		}
	}
}

// findRoute returns the decoded route of a host for its node. It reports false if the route has
// errors.
func (d *Document) findRoute(host string, node *parser.Node) (describer.HostRoute, bool) {
	if node.HasFinding(d.Errors) {
		return describer.HostRoute{}, false
	}
	path := node.Member("path").Text()
	name := node.Member("name").Text()
	for _, route := range d.Content.Hosts.Hosts[host] {
		if route.Path == path && route.Name == name {
			return route, true
		}
	}
	// The host appears twice, and the later entry has replaced this one.
	return describer.HostRoute{}, false
}

func analyzeHostRoute(node *parser.Node, route describer.HostRoute) {
	if escaped, ok := escapedPath(route.Path); !ok {
		node.Member("path").Reportf("path %q matches no request, because it is not the path of a URL; remove the query and the characters that a path cannot have", route.Path)
	} else if escaped != route.Path {
		node.Member("path").Reportf("path %q matches no request, because requests have it in escaped form; write %q", route.Path, escaped)
	}
	if route.Timeout < route.Objective {
		node.Member("objective").Reportf("objective of route %q is %s, but requests end after its timeout of %s; lower the objective or raise the timeout", route.Name, route.Objective, route.Timeout)
	}
	if route.MaxTargets > usableAttempts {
		node.Member("attempts").Reportf("attempts of route %q is %d, but a request is repeated once at most; set %d or less", route.Name, route.MaxTargets, usableAttempts)
	}
}

// escapedPath returns the path as the URL of a request contains it. It reports false if no URL has
// the path.
func escapedPath(path string) (string, bool) {
	if strings.Contains(path, "?") {
		return "", false
	}
	parsed, err := url.ParseRequestURI(path)
	if err != nil {
		return "", false
	}
	return parsed.EscapedPath(), true
}
