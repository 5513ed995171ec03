package runner

import (
	"expvar"

	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/process/announcer"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/logclient"
	"github.com/laburnumshelf/laburnumshelf/platform"
)

var (
	// storeEras counts the changes of the store's era.
	storeEras = expvar.NewInt("storeEras")
	// restoredRecords counts the records that were written to the store again.
	restoredRecords = expvar.NewInt("restoredRecords")
)

// openStore returns the client of the store, or nil without a store.
func (n *Node) openStore() logclient.Store {
	if n.config.LogURL == "" {
		return nil
	}
	n.store = platform.NewStore(n.config.LogURL)
	n.store.WatchEra(platform.EraEvents{
		OnChange: func(before, after int64) {
			n.announcer.ObserveEra(before, after)
		},
		OnInvalid: func(err error) {
			n.log.WithError(err).WithField("dependency", "store").Warn("era of the store passed over")
		},
	})
	return n.store
}

// storeEra returns the era of the store, and whether an answer has shown it.
func (n *Node) storeEra() (era int64, known bool) {
	if n.store == nil {
		return 0, false
	}
	return n.store.Era()
}

// reportEra logs that the store has another era.
func (n *Node) reportEra(change announcer.EraChange) {
	storeEras.Add(1)
	message := "store came back from an older copy; its newest settings are read and this node's records written again"
	if change.After < change.Before {
		message = "another store is in the place of the one before; its newest settings are read and this node's records written"
	}
	n.log.WithFields(logrus.Fields{
		"eraAfter":  change.After,
		"eraBefore": change.Before,
		"source":    change.Source,
		"version":   n.follower.State().Version,
	}).Warn(message)
}

// reportRestoration logs that the records of this node are in the store again.
func (n *Node) reportRestoration(restoration announcer.Restoration) {
	restoredRecords.Add(int64(restoration.Records))
	n.log.WithFields(logrus.Fields{
		"era":     restoration.Era,
		"records": restoration.Records,
		"took":    restoration.Took,
		"version": n.follower.State().Version,
	}).Info("records are in the store again")
}
