// Package watcher follows settings that an operator writes to the platform and
// that count as accepted when they are there.
//
// # Usage
//
//	w := watcher.New(watcher.Config{Source: source, Adopt: follower.Adopt})
//	err := w.Run(ctx)
package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/platform/logclient"
	"github.com/laburnumshelf/laburnumshelf/internal/version/checker"
)

// Watch parameters.
const (
	// waitTime is how long one read waits for a change. A connection that went
	// silent is noticed after it and waitMargin, within the two seconds in which
	// a change has to be in force.
	waitTime   = time.Second
	waitMargin = 500 * time.Millisecond
	// patientTime is how long a read waits while another node of the zone would
	// tell of the change: each read of the store has its price.
	patientTime = 8 * time.Second
	// newestTimeout bounds a read of the newest values.
	newestTimeout = 2 * time.Second
	// retryBase and retryLimit bound the pause after a failed read.
	retryBase  = 100 * time.Millisecond
	retryLimit = time.Second
)

// Document is one accepted settings document.
type Document struct {
	Version int64
	Path    checker.Path
	Content []byte
}

// Update is what one read of the source brought.
type Update struct {
	Documents []Document
	// Findings are records that could not be read; the others hold.
	Findings []error
	// Next is the position from which to read on.
	Next int64
}

// Source is where the operator writes settings.
type Source interface {
	// Newest returns the newest documents.
	Newest(ctx context.Context) (Update, error)
	// Changes waits up to wait for documents written from a position on. The
	// error is marked logclient.ErrCompacted when they are no longer kept.
	Changes(ctx context.Context, from int64, wait time.Duration) (Update, error)
}

// Config is what a Watcher needs.
type Config struct {
	Source Source
	// ApplyDocument puts a document in force.
	ApplyDocument func(version int64, path checker.Path, content []byte) error
	// OnVersion is called after a version was adopted.
	OnVersion func(version int64, source string)
	// Version returns the version in force.
	Version func() int64
	// HasFrequentReader reports whether another node tells of changes soon; nil means that
	// none does.
	HasFrequentReader func() bool
	Log               *logrus.Logger
}

// Watcher follows one source.
type Watcher struct {
	config Config
	next   int64
	// following tells that next is a position to read on from.
	following bool
	failures  uint
}

// New returns a Watcher.
func New(config Config) *Watcher {
	return &Watcher{
		config: config,
	}
}

// Run follows the source until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		update, err := w.read(ctx)
		if err != nil {
			w.failed(ctx, err)
			continue
		}
		w.recovered()
		w.next = update.Next
		w.following = true
		w.adopt(update)
	}
	return nil
}

// read waits for a change, or reads the newest documents when the position to
// read on from is not known.
func (w *Watcher) read(ctx context.Context) (Update, error) {
	if !w.following {
		ctx, cancel := context.WithTimeout(ctx, newestTimeout)
		defer cancel()
		return w.config.Source.Newest(ctx)
	}
	wait := waitTime
	if w.config.HasFrequentReader != nil && w.config.HasFrequentReader() {
		wait = patientTime
	}
	ctx, cancel := context.WithTimeout(ctx, wait+waitMargin)
	defer cancel()
	return w.config.Source.Changes(ctx, w.next, wait)
}

// failed notes a failed read and waits before the next one. A read that found
// its position gone starts over at once.
func (w *Watcher) failed(ctx context.Context, err error) {
	w.following = false
	if errors.Is(err, logclient.ErrCompacted) {
		w.config.Log.WithField("from", w.next).Info("operator's changes are no longer kept; reading the newest")
		return
	}
	if w.failures == 0 && ctx.Err() == nil {
		w.config.Log.WithError(err).WithField("dependency", "store").Warn("dependency lost")
	}
	pause := min(retryBase<<min(w.failures, 8), retryLimit)
	w.failures++
	select {
	case <-ctx.Done():
	case <-time.After(pause/2 + rand.N(pause)):
	}
}

func (w *Watcher) recovered() {
	if w.failures > 0 {
		w.config.Log.WithFields(logrus.Fields{
			"dependency": "store",
			"failures":   w.failures,
		}).Info("dependency regained")
	}
	w.failures = 0
}

func (w *Watcher) adopt(update Update) {
	for _, finding := range update.Findings {
		w.config.Log.WithError(finding).Warn("record of the operator not read")
	}
	for _, document := range update.Documents {
		before := w.config.Version()
		if document.Version <= before {
			continue
		}
		if err := w.config.ApplyDocument(document.Version, document.Path, document.Content); err != nil {
			w.config.Log.WithError(err).WithField("version", document.Version).Warn("settings not adopted")
			continue
		}
		if w.config.Version() > before {
			w.config.OnVersion(document.Version, "store")
		}
	}
}
