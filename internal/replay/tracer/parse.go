package tracer

import (
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/version/checker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/parser"
)

// Upper limits on values in traces.
const (
	maxTargets  = 10_000
	maxBytes    = 1 << 30
	maxDuration = 24 * time.Hour
	thousand    = 1000
)

// ReadFile reads a trace and the fleet file that it names. The name of the fleet
// file is relative to the directory of the trace.
func ReadFile(name string) (*Trace, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read trace")
	}
	trace, fleet, findings := Parse(name, content)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	fleetName := filepath.Join(filepath.Dir(name), fleet)
	if content, err = os.ReadFile(fleetName); err != nil {
		return nil, errors.Wrap(err, "read fleet of the trace")
	}
	findings = parseFleet(fleetName, content, trace)
	return trace, findings.Err()
}

// Parse parses a trace without its fleet. It returns the trace, the name of the
// fleet file, and the findings, in which file is the name of the trace.
func Parse(file string, content []byte) (*Trace, string, parser.Findings) {
	root, findings := parser.Parse(file, content)
	if root == nil {
		return nil, "", findings
	}
	object := root.Object("name", "summary", "seed", "processes", "duration", "fleet", "phases", "faults", "outcomes")
	object.Require("name", "duration", "fleet")
	trace := &Trace{
		Name:              object.String("name", ""),
		Summary:           object.String("summary", ""),
		Seed:              uint64(object.Int("seed", 0, 1<<62, 1)),
		SeparateProcesses: object.Bool("processes", false),
		Duration:          object.Duration("duration", time.Second, maxDuration, time.Minute),
	}
	for _, element := range object.Elements("phases") {
		trace.Phases = append(trace.Phases, readPhase(element))
	}
	for _, element := range object.Elements("faults") {
		trace.Faults = append(trace.Faults, readFault(element))
	}
	if field := object.Field("outcomes"); field != nil {
		trace.ExpectedOutcomes = readOutcomes(field)
	}
	fleet := object.String("fleet", "")
	findings = root.Findings()
	findings.Sort()
	return trace, fleet, findings
}

// parseFleet parses a fleet file and adds its regions, services and arrival
// streams to the trace.
func parseFleet(file string, content []byte, trace *Trace) parser.Findings {
	root, findings := parser.Parse(file, content)
	if root == nil {
		return findings
	}
	object := root.Object("regions", "latency", "services", "arrivals")
	object.Require("regions", "services", "arrivals")
	for _, element := range object.Elements("regions") {
		trace.Regions = append(trace.Regions, readRegion(element))
	}
	if field := object.Field("latency"); field != nil {
		trace.Latency = readLatency(field)
	}
	for _, element := range object.Elements("services") {
		trace.Services = append(trace.Services, readService(element))
	}
	for _, element := range object.Elements("arrivals") {
		trace.Arrivals = append(trace.Arrivals, readArrivalStream(element))
	}
	checkReferences(root, trace)
	findings = root.Findings()
	findings.Sort()
	return findings
}

// checkReferences reports uses of services that the trace does not define.
func checkReferences(root *parser.Node, trace *Trace) {
	requireService := func(name describer.ServiceName, user string) {
		if trace.Service(name) == nil {
			root.Reportf("%s refers to service %s, which the trace does not define", user, name)
		}
	}
	for _, service := range trace.Services {
		for _, route := range service.Routes {
			for _, call := range route.Calls {
				requireService(call.Service, "route "+service.Name.String()+" "+route.Name)
			}
		}
	}
	for _, arrival := range trace.Arrivals {
		requireService(arrival.Service, "arrival "+arrival.Name)
	}
	for _, fault := range trace.Faults {
		if fault.Kind != FaultLogDown && fault.Kind != FaultLogRestored {
			requireService(fault.Service, "fault "+string(fault.Kind))
		}
	}
}

func readRegion(node *parser.Node) Region {
	object := node.Object("name", "zones")
	object.Require("name", "zones")
	region := Region{
		Name: object.String("name", ""),
	}
	for _, zone := range object.Elements("zones") {
		region.Zones = append(region.Zones, zone.String())
	}
	return region
}

func readLatency(node *parser.Node) Latency {
	object := node.Object("zone", "region", "client")
	return Latency{
		CrossZone:   object.Duration("zone", 0, time.Minute, 0),
		CrossRegion: object.Duration("region", 0, time.Minute, 0),
		Client:      object.Duration("client", 0, time.Minute, 0),
	}
}

func readService(node *parser.Node) Service {
	object := node.Object("name", "targets", "slots", "connections", "routes")
	object.Require("name", "targets", "slots", "routes")
	service := Service{
		Name:        readName(object),
		Targets:     int(object.Int("targets", 1, maxTargets, 1)),
		Slots:       int(object.Int("slots", 1, maxTargets, 1)),
		Connections: int(object.Int("connections", 1, maxTargets, maxTargets)),
	}
	for _, element := range object.Elements("routes") {
		service.Routes = append(service.Routes, readRoute(element, service))
	}
	return service
}

// readName reads the service name from the field "service" or, if there is none,
// from the field "name".
func readName(object parser.Object) describer.ServiceName {
	field := object.Field("service")
	if field == nil {
		field = object.Field("name")
	}
	if field == nil {
		return describer.ServiceName{}
	}
	name, err := describer.ParseServiceName(field.String())
	if err != nil {
		field.Reportf("%s", err)
	}
	return name
}

// readRoute reads a route. Its field "settings" has the format of a route in a
// settings document.
func readRoute(node *parser.Node, service Service) Route {
	object := node.Object("settings", "work", "answerBytes", "parallel", "calls")
	object.Require("settings")
	route := Route{
		Work:        object.Duration("work", 0, time.Hour, 0),
		AnswerBytes: int(object.Int("answerBytes", 0, maxBytes, 64)),
		Parallel:    object.Bool("parallel", false),
	}
	if field := object.Field("settings"); field != nil {
		route.Route = checker.ReadRoute(field, nil)
	}
	for _, element := range object.Elements("calls") {
		call := element.Object("service", "method", "path")
		call.Require("service", "method", "path")
		route.Calls = append(route.Calls, Call{
			Service: readName(call),
			Method:  call.String("method", "GET"),
			Path:    call.String("path", "/"),
		})
	}
	return route
}

func readArrivalStream(node *parser.Node) ArrivalStream {
	object := node.Object("name", "service", "method", "path", "perSecond", "timeout", "resends", "resendDelay")
	object.Require("name", "service", "method", "path", "perSecond", "timeout")
	return ArrivalStream{
		Name:        object.String("name", ""),
		Service:     readName(object),
		Method:      object.String("method", "GET"),
		Path:        object.String("path", "/"),
		PerSecond:   float64(object.Int("perSecond", 1, maxBytes, 1)),
		Timeout:     object.Duration("timeout", time.Millisecond, maxDuration, time.Second),
		Resends:     int(object.Int("resends", 0, thousand, 0)),
		ResendDelay: object.Duration("resendDelay", 0, maxDuration, time.Second),
	}
}

func readPhase(node *parser.Node) Phase {
	object := node.Object("at", "factorPercent")
	object.Require("at", "factorPercent")
	return Phase{
		At:         object.Duration("at", 0, maxDuration, 0),
		RateFactor: readPercent(object, "factorPercent", 100*thousand),
	}
}

func readFault(node *parser.Node) Fault {
	object := node.Object("kind", "at", "for", "service", "targets", "factorPercent")
	object.Require("kind", "at")
	kinds := []string{
		string(FaultSlow), string(FaultKill), string(FaultDrain), string(FaultCold), string(FaultLogDown), string(FaultLogRestored), string(FaultFreeze),
	}
	return Fault{
		Kind:     FaultKind(object.OneOf("kind", "", kinds...)),
		At:       object.Duration("at", 0, maxDuration, 0),
		Duration: object.Duration("for", 0, maxDuration, 0),
		Service:  readName(object),
		Targets:  int(object.Int("targets", 0, maxTargets, 0)),
		Factor:   readPercent(object, "factorPercent", 100*thousand),
	}
}

func readOutcomes(node *parser.Node) ExpectedOutcomes {
	object := node.Object("triggerFrom", "triggerTo", "capacity", "goodputPercent", "criticalPercent",
		"unaffected", "unaffectedPercent", "recovery", "retryPercent")
	outcomes := ExpectedOutcomes{
		TriggerFrom:     object.Duration("triggerFrom", 0, maxDuration, 0),
		TriggerTo:       object.Duration("triggerTo", 0, maxDuration, 0),
		Capacity:        float64(object.Int("capacity", 0, maxBytes, 0)),
		GoodputShare:    readPercent(object, "goodputPercent", 100),
		CriticalShare:   readPercent(object, "criticalPercent", 100),
		UnaffectedShare: readPercent(object, "unaffectedPercent", 100),
		Recovery:        object.Duration("recovery", 0, maxDuration, 0),
		RetryShare:      readPercent(object, "retryPercent", 100),
	}
	for _, name := range object.Elements("unaffected") {
		outcomes.Unaffected = append(outcomes.Unaffected, name.String())
	}
	return outcomes
}

// readPercent reads an integer percentage of at most high and returns it as a
// factor.
func readPercent(object parser.Object, name string, high int64) float64 {
	return float64(object.Int(name, 0, high, 0)) / 100
}
