// Package watcher follows the settings that an operator writes to the platform's
// store and applies each newer version. A document in the store is already
// accepted, so there is no verdict on it as there is on a publication in the
// settings stream.
//
// # Usage
//
//	w := watcher.New(watcher.Config{Source: source, ApplyDocument: f.ApplyDocument, ...})
//	err := w.Run(ctx)
package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/version/checker"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/logclient"
)

// Watch parameters.
const (
	// shortWait is the maximum time that the store holds a read open until a
	// change arrives. If the connection stops responding, the read times out
	// after shortWait + waitMargin. This is less than the two seconds within
	// which a change must be in force.
	shortWait  = time.Second
	waitMargin = 500 * time.Millisecond
	// longWait replaces shortWait while another node of the availability zone
	// reads with shortWait and announces new versions. It saves reads, because
	// each read of the store has a cost.
	longWait = 8 * time.Second
	// newestTimeout is the timeout for a read of the newest documents.
	newestTimeout = 2 * time.Second
	// retryBase and retryLimit are the first and the longest backoff after a
	// failed read, before jitter.
	retryBase  = 100 * time.Millisecond
	retryLimit = time.Second
)

// Document is one accepted settings document.
type Document struct {
	Version int64
	Path    checker.Path
	Content []byte
}

// Update is the result of one read of a Source.
type Update struct {
	Documents []Document
	// Findings holds an error for each record that could not be decoded. Documents
	// holds the others.
	Findings []error
	// Next is the position from which the next read continues.
	Next int64
}

// Source reads the settings that the operator writes.
type Source interface {
	// Newest returns the newest version of each document.
	Newest(ctx context.Context) (Update, error)
	// Changes returns the documents written at position from or later. If there
	// are none, it waits for one for at most wait. The error is marked
	// logclient.ErrCompacted if the source no longer retains them.
	Changes(ctx context.Context, from int64, wait time.Duration) (Update, error)
}

// Config holds the dependencies of a Watcher.
type Config struct {
	Source Source
	// ApplyDocument puts a document in force as the given version.
	ApplyDocument func(version int64, path checker.Path, content []byte) error
	// OnVersion is called after a new version has come into force.
	OnVersion func(version int64, source string)
	// Version returns the version in force.
	Version func() int64
	// HasFrequentReader reports whether another node of the availability zone
	// reads the source with a short wait and announces new versions. If it is
	// nil, there is no such node.
	HasFrequentReader func() bool
	Log               *logrus.Logger
}

// Watcher follows one source.
type Watcher struct {
	config Config
	next   int64
	// positionKnown reports whether next is a valid position to read from. If it
	// is not, the next read gets the newest documents.
	positionKnown bool
	// failures is the number of consecutive failed reads.
	failures uint
}

// New returns a Watcher.
func New(config Config) *Watcher {
	return &Watcher{
		config: config,
	}
}

// Run reads the source and applies its documents until ctx is done.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		update, err := w.read(ctx)
		if err != nil {
			w.handleFailure(ctx, err)
			continue
		}
		w.handleSuccess()
		w.next = update.Next
		w.positionKnown = true
		w.applyUpdate(update)
	}
	return nil
}

// read waits for changes from w.next on. If that position is not known, it reads
// the newest documents.
func (w *Watcher) read(ctx context.Context) (Update, error) {
	if !w.positionKnown {
		ctx, cancel := context.WithTimeout(ctx, newestTimeout)
		defer cancel()
		return w.config.Source.Newest(ctx)
	}
	wait := shortWait
	if w.config.HasFrequentReader != nil && w.config.HasFrequentReader() {
		wait = longWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+waitMargin)
	defer cancel()
	return w.config.Source.Changes(ctx, w.next, wait)
}

// handleFailure records a failed read and waits for an exponential backoff with
// jitter. If the read failed only because the source no longer retains the changes
// from w.next on, it returns at once.
func (w *Watcher) handleFailure(ctx context.Context, err error) {
	w.positionKnown = false
	if errors.Is(err, logclient.ErrCompacted) {
		w.config.Log.WithField("from", w.next).Info("store no longer retains the changes from this position on; reading the newest settings")
		return
	}
	if w.failures == 0 && ctx.Err() == nil {
		w.config.Log.WithError(err).WithField("dependency", "store").Warn("dependency lost")
	}
	backoff := min(retryBase<<min(w.failures, 8), retryLimit)
	w.failures++
	select {
	case <-ctx.Done():
	case <-time.After(backoff/2 + rand.N(backoff)):
	}
}

// handleSuccess logs the end of an outage and resets the backoff.
func (w *Watcher) handleSuccess() {
	if w.failures > 0 {
		w.config.Log.WithFields(logrus.Fields{
			"dependency": "store",
			"failures":   w.failures,
		}).Info("dependency regained")
	}
	w.failures = 0
}

// applyUpdate applies the documents that are newer than the version in force.
func (w *Watcher) applyUpdate(update Update) {
	for _, finding := range update.Findings {
		w.config.Log.WithError(finding).Warn("skipped a settings record that cannot be decoded")
	}
	for _, document := range update.Documents {
		before := w.config.Version()
		if document.Version <= before {
			continue
		}
		if err := w.config.ApplyDocument(document.Version, document.Path, document.Content); err != nil {
			w.config.Log.WithError(err).WithField("version", document.Version).Warn("settings version not applied")
			continue
		}
		if w.config.Version() > before {
			w.config.OnVersion(document.Version, "store")
		}
	}
}
