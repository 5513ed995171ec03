package checker

import (
	"math"
	"strings"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/parser"
)

// MaxHeaderBytes is the highest limit of a request's head. The HTTP server takes no longer ones.
const MaxHeaderBytes = 1 << 20

// hostRules are the values that a /TEAM/hosts document may have.
type hostRules struct {
	minTimeout   time.Duration
	maxTimeout   time.Duration
	maxBodyBytes int64
	// wholeWeights requires weights that are whole numbers up to describer.MaxWholeWeight, one of
	// them above 0.
	wholeWeights bool
	// parseService parses the name of a destination.
	parseService func(text string) (describer.ServiceName, error)
}

// publishedHosts are the rules for documents that are to be put in force. All nodes must decide alike
// about a publication, so nodes with other rules here cannot follow the same settings stream.
var publishedHosts = hostRules{
	minTimeout:   minTimeout,
	maxTimeout:   maxTimeout,
	maxBodyBytes: 1 << 34,
	wholeWeights: true,
	parseService: describer.ParseServiceName,
}

// acceptedHosts are the rules for documents that are accepted already.
var acceptedHosts = hostRules{
	minTimeout:   time.Nanosecond,
	maxTimeout:   math.MaxInt64,
	maxBodyBytes: math.MaxInt64,
	parseService: describer.SplitServiceName,
}

func (r hostRules) readHosts(root *parser.Node, path Path) *describer.HostTable {
	object := root.Object("limits", "organisations", "hosts")
	object.Require("hosts")
	table := &describer.HostTable{
		Team: path.Team,
	}
	if limits := object.Field("limits"); limits != nil {
		table.Limits = r.readLimits(limits)
	}
	table.Organisations = readOrganisations(object)
	for _, element := range object.Elements("hosts") {
		host := element.Object("host", "routes")
		host.Require("host", "routes")
		name := host.String("host", "")
		if _, exists := table.Hosts[name]; exists {
			element.Reportf("host %q appears twice; keep one of them with all routes", name)
		}
		var routes []describer.HostRoute
		for _, route := range host.Elements("routes") {
			routes = append(routes, r.readHostRoute(route, routes))
		}
		table.SetRoutes(name, routes)
	}
	checkDestinations(object, table)
	return table
}

func (r hostRules) readLimits(node *parser.Node) describer.Limits {
	object := node.Object("maxHeaderBytes", "maxBodyBytes", "headerTimeout", "idleTimeout")
	return describer.Limits{
		HeaderBytes:   object.Int("maxHeaderBytes", 1, MaxHeaderBytes, 0),
		BodyBytes:     object.Int("maxBodyBytes", 1, r.maxBodyBytes, 0),
		HeaderTimeout: object.Duration("headerTimeout", r.minTimeout, r.maxTimeout, 0),
		IdleTimeout:   object.Duration("idleTimeout", r.minTimeout, r.maxTimeout, 0),
	}
}

func (r hostRules) readHostRoute(node *parser.Node, earlier []describer.HostRoute) describer.HostRoute {
	object := node.Object("name", "path", "idempotent", "timeout", "attempts", "objective", "rank", "public", "destinations")
	object.Require("name", "path", "idempotent", "destinations")
	route := describer.HostRoute{
		Name:       object.String("name", ""),
		Path:       object.String("path", ""),
		Idempotent: object.Bool("idempotent", false),
		Timeout:    object.Duration("timeout", r.minTimeout, r.maxTimeout, describer.DefaultTimeout),
		MaxTargets: int(object.Int("attempts", 1, describer.MaxAttempts, 1)),
		Rank:       int(object.Int("rank", 0, describer.MaxRank, 0)),
		Public:     object.Bool("public", false),
	}
	route.Objective = object.Duration("objective", r.minTimeout, r.maxTimeout, route.Timeout)
	if field := object.Field("path"); field != nil && (!strings.HasPrefix(route.Path, "/") || !strings.HasSuffix(route.Path, "/")) {
		field.Reportf("path is %q; want a prefix that begins and ends with /", route.Path)
	}
	for _, other := range earlier {
		if other.Path == route.Path {
			node.Reportf("routes %q and %q both have the path %q; change or remove one", other.Name, route.Name, route.Path)
		}
	}
	hasWeight := false
	for _, element := range object.Elements("destinations") {
		destination := r.readDestination(element)
		hasWeight = hasWeight || destination.Weight > 0
		route.Destinations = append(route.Destinations, destination)
	}
	field := object.Field("destinations")
	switch {
	case field == nil:
	case r.wholeWeights && !hasWeight:
		field.Reportf("no destination of route %q has a weight above 0; set one to 1 or more", route.Name)
	case len(route.Destinations) == 0:
		field.Reportf("route %q has no destination; add one", route.Name)
	}
	return route
}

func (r hostRules) readDestination(node *parser.Node) describer.Destination {
	object := node.Object("service", "weight")
	object.Require("service")
	destination := describer.Destination{
		Weight: r.readWeight(object),
	}
	field := object.Field("service")
	if field == nil {
		return destination
	}
	name, err := r.parseService(field.String())
	if err != nil {
		field.Reportf("%s", err)
	}
	destination.Service = name
	return destination
}

func (r hostRules) readWeight(object parser.Object) float64 {
	if r.wholeWeights {
		return float64(object.Int("weight", 0, describer.MaxWholeWeight, 1))
	}
	return object.Float("weight", 0, math.MaxFloat64, 1)
}
