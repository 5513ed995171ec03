// Package authenticator determines which organisation a request belongs to, from the digest of
// the key that it carries. It does no I/O.
//
// A Registry belongs to one version of the settings. Keys are looked up by their digest in a
// map. The comparison needs no constant time: whatever its duration tells about a digest, it does
// not tell the key.
//
// # Usage
//
//	directory := authenticator.NewDirectory()
//	registry := directory.Registry(settings, team)
//	organisation, verdict := registry.Identify(digest, hasKey, route.Public)
package authenticator

import (
	"sync"
	"sync/atomic"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// Verdict is the result of the authentication of a request.
type Verdict uint8

// The verdicts.
const (
	// Known means that the request belongs to an organisation.
	Known Verdict = iota
	// Public means that the request belongs to no organisation, and needs none because its
	// route is public.
	Public
	// Unknown means that the request must be refused: its route is not public, and it carries
	// no key of an organisation.
	Unknown
)

// Registry holds the organisations of one team by their keys.
type Registry struct {
	team          string
	organisations []describer.Organisation
	// owners holds the index of the organisation that has the key.
	owners map[describer.KeyDigest]int32
	// top is the criticality of the most important organisation that has a rank.
	top describer.Criticality
}

// NewRegistry returns a Registry of the organisations of a team. If a key appears twice, the first
// organisation has it.
func NewRegistry(team string, organisations []describer.Organisation) *Registry {
	keys := 0
	for _, organisation := range organisations {
		keys += len(organisation.Keys)
	}
	r := &Registry{
		team:          team,
		organisations: organisations,
		owners:        make(map[describer.KeyDigest]int32, keys),
	}
	for i, organisation := range organisations {
		if organisation.HasRank {
			r.top = max(r.top, organisation.Criticality())
		}
		for _, digest := range organisation.Keys {
			if _, exists := r.owners[digest]; !exists {
				r.owners[digest] = int32(i)
			}
		}
	}
	return r
}

// Team returns the name of the team.
func (r *Registry) Team() string {
	return r.team
}

// BelowTop returns the number of criticalities by which an organisation with a rank is below the
// most important one of the team.
func (r *Registry) BelowTop(organisation *describer.Organisation) uint8 {
	return uint8(r.top - organisation.Criticality())
}

// Keys returns the number of keys.
func (r *Registry) Keys() int {
	return len(r.owners)
}

// Organisations returns the number of organisations.
func (r *Registry) Organisations() int {
	return len(r.organisations)
}

// Identify returns the organisation of a request and the verdict. hasKey reports whether the
// request carries a key, and public whether its route is public. The organisation is nil unless
// the verdict is Known.
func (r *Registry) Identify(digest describer.KeyDigest, hasKey, public bool) (*describer.Organisation, Verdict) {
	if hasKey {
		if i, ok := r.owners[digest]; ok {
			return &r.organisations[i], Known
		}
	}
	if public {
		return nil, Public
	}
	return nil, Unknown
}

// Directory holds the registries of the settings in force. Its methods are safe for concurrent
// use.
type Directory struct {
	current atomic.Pointer[edition]
	// building is held while registries are built, so that the requests that arrive meanwhile
	// wait for them instead of building them too.
	building sync.Mutex
}

// edition holds the registries of one version of the settings.
type edition struct {
	settings *describer.Settings
	teams    map[string]*Registry
}

// NewDirectory returns a Directory without registries.
func NewDirectory() *Directory {
	d := &Directory{}
	d.current.Store(&edition{})
	return d
}

// Apply builds the registries of settings, unless that has been done. Registries of teams whose
// organisations are the same as before are kept.
func (d *Directory) Apply(settings *describer.Settings) {
	d.load(settings)
}

// Registry returns the registry of a team in settings, or nil if the team has no organisations.
func (d *Directory) Registry(settings *describer.Settings, team string) *Registry {
	if len(settings.Hosts[team].Organisations) == 0 {
		return nil
	}
	return d.load(settings).teams[team]
}

// Size returns the numbers of organisations and of their keys in the settings applied last.
func (d *Directory) Size() (organisations, keys int) {
	for _, registry := range d.current.Load().teams {
		organisations += registry.Organisations()
		keys += registry.Keys()
	}
	return organisations, keys
}

// load returns the registries of settings. Those of settings older than the current ones are
// built for the one request that still has them.
func (d *Directory) load(settings *describer.Settings) *edition {
	if current := d.current.Load(); current.settings == settings {
		return current
	}
	d.building.Lock()
	defer d.building.Unlock()
	current := d.current.Load()
	if current.settings == settings {
		return current
	}
	next := &edition{
		settings: settings,
		teams:    current.teamsFor(settings),
	}
	if current.settings == nil || settings.Version >= current.settings.Version {
		d.current.Store(next)
	}
	return next
}

// teamsFor returns the registries of settings. It reuses those of e whose organisations did not
// change.
func (e *edition) teamsFor(settings *describer.Settings) map[string]*Registry {
	teams := make(map[string]*Registry)
	for team, table := range settings.Hosts {
		if len(table.Organisations) == 0 {
			continue
		}
		if earlier := e.teams[team]; earlier != nil && sameSlice(earlier.organisations, table.Organisations) {
			teams[team] = earlier
			continue
		}
		teams[team] = NewRegistry(team, table.Organisations)
	}
	return teams
}

// sameSlice reports whether a and b are the same elements in memory, as they are in two versions
// of the settings that share a host table. Neither is empty.
func sameSlice(a, b []describer.Organisation) bool {
	return len(a) == len(b) && &a[0] == &b[0]
}
