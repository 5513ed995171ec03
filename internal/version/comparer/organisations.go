package comparer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

func (c *comparison) compareOrganisations(before, after []describer.Organisation) {
	c.change("", "requests on routes that are not public", keyRequirement(before), keyRequirement(after))
	name := func(organisation describer.Organisation) string { return organisation.Name }
	pairs, removed, added := match(before, after, name)
	byName := func(a, b describer.Organisation) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(removed, byName)
	slices.SortFunc(added, byName)
	slices.SortFunc(pairs, func(a, b pair[describer.Organisation]) int { return byName(a.after, b.after) })
	for _, organisation := range removed {
		c.remove(organisationEntry(organisation), describeOrganisation(organisation))
	}
	for _, organisation := range added {
		c.add(organisationEntry(organisation), describeOrganisation(organisation))
	}
	for _, pair := range pairs {
		c.compareOrganisation(pair.before, pair.after)
	}
}

// keyRequirement describes whether requests need a key: they do if there are organisations.
func keyRequirement(organisations []describer.Organisation) string {
	if len(organisations) == 0 {
		return "need no key"
	}
	return "need a key"
}

func organisationEntry(organisation describer.Organisation) string {
	return fmt.Sprintf("organisation %q", organisation.Name)
}

func describeOrganisation(organisation describer.Organisation) string {
	description := fmt.Sprintf("%s, rank %s, rate %s", count(len(organisation.Keys), "key"),
		describeRank(organisation), describeRate(organisation))
	if organisation.Rate > 0 {
		description += fmt.Sprintf(", burst %v", organisation.Burst)
	}
	return description
}

func describeRate(organisation describer.Organisation) string {
	if organisation.Rate == 0 {
		return "none"
	}
	return fmt.Sprint(organisation.Rate)
}

func describeRank(organisation describer.Organisation) string {
	if !organisation.HasRank {
		return "of the route"
	}
	return fmt.Sprint(organisation.Rank)
}

func (c *comparison) compareOrganisation(before, after describer.Organisation) {
	entry := organisationEntry(after)
	removed, added := countMissing(before.Keys, after.Keys), countMissing(after.Keys, before.Keys)
	if removed > 0 || added > 0 {
		c.differences = append(c.differences, Difference{
			Change: Changed,
			Entry:  entry,
			Field:  "keys",
			Before: fmt.Sprint(len(before.Keys)),
			After:  fmt.Sprintf("%d (%d added, %d removed)", len(after.Keys), added, removed),
		})
	}
	c.change(entry, "rank", describeRank(before), describeRank(after))
	c.change(entry, "rate", describeRate(before), describeRate(after))
	c.change(entry, "burst", fmt.Sprint(before.Burst), fmt.Sprint(after.Burst))
}

// countMissing returns the number of keys that are not among the others.
func countMissing(keys, others []describer.KeyDigest) int {
	known := make(map[describer.KeyDigest]bool, len(others))
	for _, key := range others {
		known[key] = true
	}
	missing := 0
	for _, key := range keys {
		if !known[key] {
			missing++
		}
	}
	return missing
}

// count returns a number with its unit in the singular or plural.
func count(number int, unit string) string {
	if number == 1 {
		return "1 " + unit
	}
	return fmt.Sprintf("%d %ss", number, unit)
}

// durationBound describes a duration of which 0 means that there is no bound.
func durationBound(duration time.Duration) string {
	if duration == 0 {
		return "no bound"
	}
	return duration.String()
}
