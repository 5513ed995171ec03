package describer

import "testing"

// TestHostOfTwoTeamsHasOneRoute lists a host in the tables of several teams. All nodes must
// choose the same route, each time.
func TestHostOfTwoTeamsHasOneRoute(t *testing.T) {
	settings := &Settings{
		Hosts: make(map[string]HostTable),
	}
	for _, team := range []string{"water", "camps", "maps", "desk"} {
		table := HostTable{
			Team: team,
		}
		table.SetRoutes("h.example", []HostRoute{{Name: team, Path: "/"}})
		settings.Hosts[team] = table
	}
	for range 100 {
		route, ok := settings.MatchHost("h.example", "/x")
		if !ok || route.Name != "camps" {
			t.Fatalf("got route %q, want that of the first team by name, camps", route.Name)
		}
	}
}

// TestLongestPathPrefixOfAllTeamsMatches lists a host in two teams. The longest prefix
// matches, whichever team it belongs to.
func TestLongestPathPrefixOfAllTeamsMatches(t *testing.T) {
	settings := &Settings{
		Hosts: make(map[string]HostTable),
	}
	for team, path := range map[string]string{"camps": "/", "water": "/book/"} {
		table := HostTable{
			Team: team,
		}
		table.SetRoutes("h.example", []HostRoute{{Name: team, Path: path}})
		settings.Hosts[team] = table
	}
	if route, _ := settings.MatchHost("h.example", "/book/1"); route.Name != "water" {
		t.Errorf("got route %q, want water", route.Name)
	}
}
