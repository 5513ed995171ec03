package comparer

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

func (c *comparison) compareHosts(before, after describer.HostTable) {
	c.compareLimits(before.Limits, after.Limits)
	c.compareOrganisations(before.Organisations, after.Organisations)
	names := make(map[string]bool)
	for name := range before.Hosts {
		names[name] = true
	}
	for name := range after.Hosts {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		entry := fmt.Sprintf("host %q", name)
		routesBefore, existed := before.Hosts[name]
		routesAfter, exists := after.Hosts[name]
		switch {
		case !existed:
			c.add(entry, count(len(routesAfter), "route"))
		case !exists:
			c.remove(entry, count(len(routesBefore), "route"))
		}
		c.compareHostRoutes(entry, routesBefore, routesAfter)
	}
}

func (c *comparison) compareLimits(before, after describer.Limits) {
	c.change("", "limits.maxHeaderBytes", bound(before.HeaderBytes), bound(after.HeaderBytes))
	c.change("", "limits.maxBodyBytes", bound(before.BodyBytes), bound(after.BodyBytes))
	c.change("", "limits.headerTimeout", durationBound(before.HeaderTimeout), durationBound(after.HeaderTimeout))
	c.change("", "limits.idleTimeout", durationBound(before.IdleTimeout), durationBound(after.IdleTimeout))
}

// compareHostRoutes compares the routes of one host. A route is the same one if it has the same path,
// or else the same name.
func (c *comparison) compareHostRoutes(host string, before, after []describer.HostRoute) {
	pairs, removed, added := match(before, after,
		func(route describer.HostRoute) string { return route.Path },
		func(route describer.HostRoute) string { return route.Name })
	for _, route := range removed {
		c.remove(routeEntry(host, route.Name), describeHostRoute(route))
	}
	for _, route := range added {
		c.add(routeEntry(host, route.Name), describeHostRoute(route))
	}
	for _, pair := range pairs {
		c.compareHostRoute(routeEntry(host, pair.after.Name), pair.before, pair.after)
	}
}

func routeEntry(host, name string) string {
	return fmt.Sprintf("%s, route %q", host, name)
}

func describeHostRoute(route describer.HostRoute) string {
	return fmt.Sprintf("path %q to %s", route.Path, describeDestinations(route.Destinations))
}

func (c *comparison) compareHostRoute(entry string, before, after describer.HostRoute) {
	c.change(entry, "name", strconv.Quote(before.Name), strconv.Quote(after.Name))
	c.change(entry, "path", strconv.Quote(before.Path), strconv.Quote(after.Path))
	c.compareDestinations(entry, before.Destinations, after.Destinations)
	c.change(entry, "idempotent", fmt.Sprint(before.Idempotent), fmt.Sprint(after.Idempotent))
	c.change(entry, "timeout", before.Timeout.String(), after.Timeout.String())
	c.change(entry, "attempts", fmt.Sprint(before.MaxTargets), fmt.Sprint(after.MaxTargets))
	c.change(entry, "objective", before.Objective.String(), after.Objective.String())
	c.change(entry, "rank", fmt.Sprint(before.Rank), fmt.Sprint(after.Rank))
	c.change(entry, "public", fmt.Sprint(before.Public), fmt.Sprint(after.Public))
}

// compareDestinations compares the services to which a route sends requests, or their weights if the
// services are the same.
func (c *comparison) compareDestinations(entry string, before, after []describer.Destination) {
	field := "destinations"
	if slices.Equal(slices.Sorted(maps.Keys(weights(before))), slices.Sorted(maps.Keys(weights(after)))) {
		field = "weights"
	}
	c.change(entry, field, describeDestinations(before), describeDestinations(after))
}

// weights returns the weight of each service as text, in lowest terms if the weights have the
// proportions of whole numbers. Services without a weight get no requests and are left out.
func weights(destinations []describer.Destination) map[string]string {
	texts := make(map[string]string)
	whole, isWhole := describer.WholeWeights(destinations)
	if !isWhole {
		for service, share := range shares(destinations) {
			texts[service] = strconv.FormatFloat(share, 'g', shareDigits, 64)
		}
		return texts
	}
	total := make(map[string]int64)
	divisor := int64(0)
	for i, destination := range destinations {
		if whole[i] > 0 {
			total[destination.Service.String()] += whole[i]
		}
	}
	for _, weight := range total {
		divisor = greatestCommonDivisor(divisor, weight)
	}
	for service, weight := range total {
		texts[service] = strconv.FormatInt(weight/divisor, 10)
	}
	return texts
}

// shareDigits is the number of digits to which shares of requests are compared.
const shareDigits = 6

// shares returns the part of the requests that each service gets, without those that get none.
func shares(destinations []describer.Destination) map[string]float64 {
	largest := 0.0
	for _, destination := range destinations {
		largest = max(largest, destination.Weight)
	}
	// The sum of the weights themselves may exceed the range of float64.
	total := 0.0
	for _, destination := range destinations {
		total += destination.Weight / largest
	}
	parts := make(map[string]float64)
	for _, destination := range destinations {
		if destination.Weight > 0 {
			parts[destination.Service.String()] += destination.Weight / largest / total
		}
	}
	return parts
}

func greatestCommonDivisor(a, b int64) int64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// describeDestinations lists the services by name, with their weights if there are several.
func describeDestinations(destinations []describer.Destination) string {
	total := weights(destinations)
	var list []string
	for _, service := range slices.Sorted(maps.Keys(total)) {
		if len(total) > 1 {
			service += fmt.Sprintf(" (weight %s)", total[service])
		}
		list = append(list, service)
	}
	return strings.Join(list, ", ")
}
