// Package comparer lists the differences between two versions of a settings document by their
// meaning. Comments, order, default values that are written out and equal ratios of weights make no
// difference. Keys of organisations are counted and never shown, neither by value nor by digest.
//
// # Usage
//
//	differences := comparer.Compare(path, inForce, next)
package comparer

import (
	"fmt"

	"github.com/laburnumshelf/laburnumshelf/internal/version/checker"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Change is the kind of a difference.
type Change string

// The kinds of differences.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is one difference between two versions of a document.
type Difference struct {
	Change Change `json:"change"`
	// Entry names the entry that differs, such as a route of a host. It is empty for fields of the
	// whole document.
	Entry string `json:"entry,omitempty"`
	// Field names the field that differs if Change is Changed.
	Field string `json:"field,omitempty"`
	// Before and After describe the field or the entry. Before is empty if the entry was added,
	// and After if it was removed.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the difference as one line of text.
func (d Difference) String() string {
	switch {
	case d.Change == Added:
		return fmt.Sprintf("added %s: %s", d.Entry, d.After)
	case d.Change == Removed:
		return fmt.Sprintf("removed %s: %s", d.Entry, d.Before)
	case d.Entry == "":
		return fmt.Sprintf("changed %s: %s, was %s", d.Field, d.After, d.Before)
	default:
		return fmt.Sprintf("changed %s: %s %s, was %s", d.Entry, d.Field, d.After, d.Before)
	}
}

// Compare returns the differences from one version of the document at path to another. The zero
// Document stands for a document that does not exist: everything that differs from the default
// settings is then a difference.
func Compare(path checker.Path, before, after checker.Document) []Difference {
	c := &comparison{}
	switch {
	case path.Hosts:
		c.compareHosts(orZero(before.Hosts), orZero(after.Hosts))
	case path.Service == "":
		c.compareTeams(orZero(before.Team), orZero(after.Team))
	default:
		fallback := describer.DefaultService(path.ServiceName())
		c.compareServices(orDefault(before.Service, fallback), orDefault(after.Service, fallback))
	}
	return c.differences
}

func orZero[T any](value *T) T {
	var zero T
	return orDefault(value, zero)
}

func orDefault[T any](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}

// comparison collects differences.
type comparison struct {
	differences []Difference
}

func (c *comparison) add(entry, description string) {
	c.differences = append(c.differences, Difference{
		Change: Added,
		Entry:  entry,
		After:  description,
	})
}

func (c *comparison) remove(entry, description string) {
	c.differences = append(c.differences, Difference{
		Change: Removed,
		Entry:  entry,
		Before: description,
	})
}

// change adds a difference of a field if its two descriptions differ.
func (c *comparison) change(entry, field, before, after string) {
	if before == after {
		return
	}
	c.differences = append(c.differences, Difference{
		Change: Changed,
		Entry:  entry,
		Field:  field,
		Before: before,
		After:  after,
	})
}

func (c *comparison) compareTeams(before, after describer.Team) {
	c.change("", "crossRegionBytesPerSecond", bound(before.CrossRegionBytesPerSecond), bound(after.CrossRegionBytesPerSecond))
}

// bound describes a limit of which 0 means that there is none.
func bound(value int64) string {
	if value == 0 {
		return "no bound"
	}
	return fmt.Sprint(value)
}

// pair is an entry in both versions of a list.
type pair[T any] struct {
	before, after T
}

// match assigns the entries of two lists to each other by the first of keys that gives them the same
// key. Entries that share a key with others of their list are not assigned by it. It returns the
// pairs, and the entries of both lists that are left over.
func match[T any](before, after []T, keys ...func(T) string) (pairs []pair[T], removed, added []T) {
	for _, key := range keys {
		index, counts := make(map[string]T), make(map[string]int)
		for _, entry := range before {
			index[key(entry)] = entry
			counts[key(entry)]++
		}
		countsAfter := make(map[string]int)
		for _, entry := range after {
			countsAfter[key(entry)]++
		}
		paired := func(entry T) bool {
			return counts[key(entry)] == 1 && countsAfter[key(entry)] == 1
		}
		var restBefore, restAfter []T
		for _, entry := range after {
			if !paired(entry) {
				restAfter = append(restAfter, entry)
				continue
			}
			pairs = append(pairs, pair[T]{
				before: index[key(entry)],
				after:  entry,
			})
		}
		for _, entry := range before {
			if !paired(entry) {
				restBefore = append(restBefore, entry)
			}
		}
		before, after = restBefore, restAfter
	}
	return pairs, before, after
}
