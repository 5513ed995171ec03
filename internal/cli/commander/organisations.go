package commander

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/laburnumshelf/laburnumshelf/internal/process/administrator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tallier"
)

// organisationTable returns the table of the largest organisations over all nodes, or "" if the
// settings hold none. Each node tells of those that are largest there.
func organisationTable(nodes []administrator.Status) string {
	totals := make(map[tallier.Key]tallier.Usage)
	count, keys := 0, 0
	for _, node := range nodes {
		if node.Organisations == nil {
			continue
		}
		count, keys = max(count, node.Organisations.Count), max(keys, node.Organisations.Keys)
		for _, usage := range node.Organisations.Largest {
			key := tallier.Key{
				Team:         usage.Team,
				Organisation: usage.Organisation,
			}
			totals[key] = totals[key].Plus(usage)
		}
	}
	if count == 0 {
		return ""
	}
	largest := slices.SortedFunc(maps.Values(totals), func(a, b tallier.Usage) int {
		return cmp.Compare(b.RecentPerSecond, a.RecentPerSecond)
	})
	var text strings.Builder
	fmt.Fprintf(&text, "\n%d organisations with %d keys\n", count, keys)
	fmt.Fprintf(&text, "%-40s %9s %10s %10s  %s\n", "ORGANISATION", "PER-S", "DEMAND", "SERVED", "REFUSED, FAILED")
	for _, usage := range largest[:min(len(largest), tallier.MaxReported)] {
		fmt.Fprintf(&text, "%-40s %9.1f %10d %10d  %s\n", usage.Team+"/"+usage.Organisation, usage.RecentPerSecond, usage.Demand, usage.Served,
			strings.Join(append(formatCounts(usage.Refused, ""), formatCounts(usage.Failed, "failed.")...), " "))
	}
	return text.String()
}

// formatCounts returns the counts as name=number, sorted by name.
func formatCounts(counts map[string]int64, prefix string) []string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, fmt.Sprintf("%s%s=%d", prefix, name, counts[name]))
	}
	return list
}
