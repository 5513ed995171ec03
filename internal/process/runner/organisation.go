package runner

import (
	"context"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/process/administrator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tallier"
	"github.com/laburnumshelf/laburnumshelf/internal/version/verifier"
)

// organisationStatus returns what operators see of the organisations, or nil if the settings hold
// none.
func (n *Node) organisationStatus() *administrator.Organisations {
	count, keys := n.organisations.Size()
	if count == 0 {
		return nil
	}
	return &administrator.Organisations{
		Count:   count,
		Keys:    keys,
		Largest: n.tally.Largest(time.Now(), tallier.MaxReported),
	}
}

// hasOrganisations reports whether a team has organisations in the settings in force.
func (n *Node) hasOrganisations(team string) bool {
	return len(n.settings().Hosts[team].Organisations) > 0
}

// confirmSettings applies the confirmation that version was the newest one before age.
func (n *Node) confirmSettings(version int64, age time.Duration) {
	if version == n.follower.State().Version {
		n.verifier.Confirm(time.Now().Add(-age))
	}
}

// runVerifier tells the verifier that the node runs, until ctx is done.
func (n *Node) runVerifier(ctx context.Context) error {
	ticker := time.NewTicker(verifier.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.verifier.Tick(time.Now())
		}
	}
}
