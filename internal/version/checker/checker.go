// Package checker validates settings documents and decodes them into typed
// settings. It reports all findings of a document, not only the first.
//
// Check is for documents that somebody wants to put in force. Its bounds catch mistakes, and all
// nodes must decide alike about a publication. Decode is for documents that are accepted already:
// it takes every value that a node can apply, because a refused value would keep the whole
// document out of force.
//
// Each team has its own documents. /TEAM/team holds the settings that all its
// services share, /TEAM/services/NAME holds the settings of one service, and
// /TEAM/hosts maps hosts and path prefixes to services.
//
// # Usage
//
//	path, err := checker.ParsePath("/county/services/allot")
//	document, findings := checker.Check("allot.jsonc", path, content)
//	document, findings = checker.Decode(path.String(), path, contentInForce)
package checker

import (
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/parser"
)

// Bounds of values in settings documents.
const (
	maxSlots          = 100_000
	maxQueue          = 100_000
	maxRetryAllowance = 100
	minTimeout        = time.Millisecond
	maxTimeout        = time.Hour
	maxBytesPerSecond = 1 << 40
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Path identifies one settings document.
type Path struct {
	Team string
	// Service is empty for the /TEAM/team and /TEAM/hosts documents.
	Service string
	// Hosts is set for the /TEAM/hosts document.
	Hosts bool
}

// String returns the path in the form that ParsePath accepts.
func (p Path) String() string {
	if p.Hosts {
		return "/" + p.Team + "/hosts"
	}
	if p.Service == "" {
		return "/" + p.Team + "/team"
	}
	return "/" + p.Team + "/services/" + p.Service
}

// ServiceName returns the name of the service to which the document belongs.
func (p Path) ServiceName() describer.ServiceName {
	return describer.ServiceName{
		Team: p.Team,
		Name: p.Service,
	}
}

// ParsePath parses a path of the form /TEAM/team, /TEAM/hosts or
// /TEAM/services/NAME.
func ParsePath(text string) (Path, error) {
	parts := strings.Split(text, "/")
	if len(parts) == 3 && parts[0] == "" && (parts[2] == "team" || parts[2] == "hosts") && namePattern.MatchString(parts[1]) {
		return Path{
			Team:  parts[1],
			Hosts: parts[2] == "hosts",
		}, nil
	}
	if len(parts) == 4 && parts[0] == "" && parts[2] == "services" && namePattern.MatchString(parts[1]) && namePattern.MatchString(parts[3]) {
		return Path{
			Team:    parts[1],
			Service: parts[3],
		}, nil
	}
	return Path{}, errors.Newf("path %q is not /TEAM/team, /TEAM/hosts or /TEAM/services/NAME in lower case letters, digits and hyphens", text)
}

// Document is the typed content of one settings document. Exactly one field is
// set.
type Document struct {
	Service *describer.Service
	Team    *describer.Team
	Hosts   *describer.HostTable
}

// Check validates and decodes the document at path. Findings name the document as
// file.
func Check(file string, path Path, content []byte) (Document, parser.Findings) {
	return read(file, path, content, publishedHosts)
}

// Decode decodes the document at path, which the operator's store or another node has accepted.
// Findings name the document as file.
func Decode(file string, path Path, content []byte) (Document, parser.Findings) {
	return read(file, path, content, acceptedHosts)
}

func read(file string, path Path, content []byte, rules hostRules) (Document, parser.Findings) {
	root, findings := parser.Parse(file, content)
	if root == nil {
		return Document{}, findings
	}
	document := Document{}
	switch {
	case path.Hosts:
		document.Hosts = rules.readHosts(root, path)
	case path.Service == "":
		document.Team = readTeam(root, path)
	default:
		document.Service = readService(root, path)
	}
	findings = root.Findings()
	findings.Sort()
	return document, findings
}

func readTeam(root *parser.Node, path Path) *describer.Team {
	object := root.Object("crossRegionBytesPerSecond")
	return &describer.Team{
		Name:                      path.Team,
		CrossRegionBytesPerSecond: object.Int("crossRegionBytesPerSecond", 0, maxBytesPerSecond, 0),
	}
}

func readService(root *parser.Node, path Path) *describer.Service {
	object := root.Object("maxConcurrency", "maxQueue", "queueTimeout", "retryAllowance", "crossRegion", "routes")
	service := &describer.Service{
		Name:           path.ServiceName(),
		MaxConcurrency: int(object.Int("maxConcurrency", 1, maxSlots, 0)),
		MaxQueue:       int(object.Int("maxQueue", 0, maxQueue, describer.DefaultMaxQueue)),
		QueueTimeout:   object.Duration("queueTimeout", minTimeout, maxTimeout, describer.DefaultQueueTimeout),
		RetryAllowance: uint32(object.Int("retryAllowance", 0, maxRetryAllowance, describer.DefaultRetryAllowance)),
	}
	crossRegion := object.OneOf("crossRegion", describer.CrossRegionNames[0], describer.CrossRegionNames...)
	if crossRegion == describer.CrossRegionNames[describer.CrossNever] {
		service.CrossRegion = describer.CrossNever
	}
	for _, element := range object.Elements("routes") {
		service.Routes = append(service.Routes, ReadRoute(element, service.Routes))
	}
	return service
}

// ReadRoute decodes one route. It reports a finding if the route overlaps one of
// the earlier routes or has the name of one.
func ReadRoute(element *parser.Node, earlier []describer.Route) describer.Route {
	object := element.Object("name", "methods", "path", "criticality", "idempotent", "timeout")
	object.Require("name", "path", "criticality", "idempotent")
	route := describer.Route{
		Name:       object.String("name", ""),
		Path:       object.String("path", ""),
		Idempotent: object.Bool("idempotent", false),
		Timeout:    object.Duration("timeout", minTimeout, maxTimeout, describer.DefaultTimeout),
	}
	for _, method := range object.Elements("methods") {
		route.Methods = append(route.Methods, readMethod(method))
	}
	name := object.OneOf("criticality", describer.CriticalityNames[describer.Normal], describer.CriticalityNames...)
	if criticality, err := describer.ParseCriticality(name); err == nil {
		route.Criticality = criticality
	}
	if field := object.Field("path"); field != nil && !strings.HasPrefix(route.Path, "/") {
		field.Reportf("path is %q; want a path that starts with /", route.Path)
	}
	if field := object.Field("name"); field != nil && !namePattern.MatchString(route.Name) {
		field.Reportf("name is %q; want lower case letters, digits and hyphens", route.Name)
	}
	for _, other := range earlier {
		if route.Name != "" && route.Name == other.Name {
			element.Reportf("route name %q appears twice; rename one", route.Name)
		}
		if route.Overlaps(other) {
			element.Reportf("route %q overlaps route %q: both match %s; change the path or the methods of one", route.Name, other.Name, route.Path)
		}
	}
	return route
}

func readMethod(node *parser.Node) string {
	method := node.String()
	if method == "" || method != strings.ToUpper(method) {
		node.Reportf("method is %q; want an HTTP method in capitals", method)
	}
	return method
}
