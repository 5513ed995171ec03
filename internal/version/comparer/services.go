package comparer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

func (c *comparison) compareServices(before, after describer.Service) {
	c.change("", "maxConcurrency", describeConcurrency(before), describeConcurrency(after))
	c.change("", "maxQueue", fmt.Sprint(before.MaxQueue), fmt.Sprint(after.MaxQueue))
	c.change("", "queueTimeout", before.QueueTimeout.String(), after.QueueTimeout.String())
	c.change("", "retryAllowance", fmt.Sprint(before.RetryAllowance), fmt.Sprint(after.RetryAllowance))
	c.change("", "crossRegion", describer.CrossRegionNames[before.CrossRegion], describer.CrossRegionNames[after.CrossRegion])
	pairs, removed, added := match(before.Routes, after.Routes,
		func(route describer.Route) string { return route.Name },
		func(route describer.Route) string { return describePattern(route) })
	for _, route := range removed {
		c.remove(serviceRouteEntry(route), describeRoute(route))
	}
	for _, route := range added {
		c.add(serviceRouteEntry(route), describeRoute(route))
	}
	for _, pair := range pairs {
		c.compareRoute(pair.before, pair.after)
	}
}

func describeConcurrency(service describer.Service) string {
	if service.MaxConcurrency == 0 {
		return "the announced slots"
	}
	return fmt.Sprint(service.MaxConcurrency)
}

func serviceRouteEntry(route describer.Route) string {
	return fmt.Sprintf("route %q", route.Name)
}

func describeRoute(route describer.Route) string {
	return fmt.Sprintf("%s, %s, timeout %s", describePattern(route), route.Criticality, route.Timeout)
}

// describePattern describes which requests a route matches. A slash at the end of the path has no
// meaning.
func describePattern(route describer.Route) string {
	return fmt.Sprintf("%s path %q", describeMethods(route), trimPath(route))
}

func describeMethods(route describer.Route) string {
	if len(route.Methods) == 0 {
		return "all methods"
	}
	return strings.Join(slices.Compact(slices.Sorted(slices.Values(route.Methods))), "|")
}

func trimPath(route describer.Route) string {
	if trimmed := strings.TrimSuffix(route.Path, "/"); trimmed != "" {
		return trimmed
	}
	return "/"
}

func (c *comparison) compareRoute(before, after describer.Route) {
	entry := serviceRouteEntry(after)
	c.change(entry, "name", strconv.Quote(before.Name), strconv.Quote(after.Name))
	c.change(entry, "methods", describeMethods(before), describeMethods(after))
	c.change(entry, "path", strconv.Quote(trimPath(before)), strconv.Quote(trimPath(after)))
	c.change(entry, "criticality", before.Criticality.String(), after.Criticality.String())
	c.change(entry, "idempotent", fmt.Sprint(before.Idempotent), fmt.Sprint(after.Idempotent))
	c.change(entry, "timeout", before.Timeout.String(), after.Timeout.String())
}
