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
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/version/checker"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/logclient"
)

// Watch parameters.
const (
	// readWait is the maximum time that the store holds a read open until a
	// change arrives. If the connection stops responding, the read times out
	// after readWait + waitMargin. This is less than the two seconds within
	// which a change must be in force.
	readWait   = 800 * time.Millisecond
	waitMargin = 400 * time.Millisecond
	// standbyPeriod is the longest time that a watcher leaves the reads to others,
	// and standbyCheck the time between two checks that it still may. It saves reads,
	// because each read has a cost, and each read that returns a new version takes it
	// over the links between regions.
	standbyPeriod = 30 * time.Second
	standbyCheck  = 100 * time.Millisecond
	// newestTimeout is the timeout for a read of the newest documents.
	newestTimeout = 2 * time.Second
	// retryBase and retryLimit are the first and the longest backoff after a
	// failed read, before jitter.
	retryBase  = 100 * time.Millisecond
	retryLimit = time.Second
)

// settingsReads counts the reads of the settings in the store.
var settingsReads = expvar.NewInt("settingsReads")

// Document is one accepted settings document.
type Document struct {
	Version int64
	Path    checker.Path
	Content []byte
	// Next is a position after the document. Later documents are at this position or after
	// it.
	Next int64
}

// LeftOut is a version that could not be decoded.
type LeftOut struct {
	// Version is 0 if it could not be read.
	Version int64
	Err     error
}

// Update is the result of one read of a Source.
type Update struct {
	Documents []Document
	// Findings holds an error for each record, or part of one, that is left out of
	// Documents because it could not be decoded.
	Findings []error
	// LeftOut holds the versions without a document. Their errors are among Findings too.
	LeftOut []LeftOut
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
	ApplyDocument func(version int64, path checker.Path, content []byte, position int64) error
	// OnVersion is called after a new version has come into force.
	OnVersion func(version int64, source string)
	// OnLeftOut is called with a version that could not be decoded, 0 if it could not be read. It
	// may be nil.
	OnLeftOut func(version int64, err error)
	// Version returns the version in force.
	Version func() int64
	// Position returns the position after the newest document in force, also if that
	// came from another node, or 0 if it is not known. It may be nil.
	Position func() int64
	// OnAvailability is called when reads begin to fail and when one succeeds again.
	// It may be nil.
	OnAvailability func(available bool)
	// OnRead is called after each read: every document that was in the source at asOf has
	// been read. It may be nil.
	OnRead func(asOf time.Time)
	// OnFailure is called after each read that failed. started is the time at which it began.
	// It may be nil.
	OnFailure func(started time.Time)
	// ReadReason returns why this node must read the source itself, or "" while other
	// nodes read it and new versions arrive from them. If it is nil, there are no such
	// nodes.
	ReadReason func() string
	Log        *logrus.Logger
}

// Watcher follows one source.
type Watcher struct {
	config Config
	next   int64
	// positionKnown reports whether next is a valid position to read from. If it
	// is not, the next read gets the newest documents.
	positionKnown bool
	// invalid is the highest position that the source did not have, because it retains no such
	// changes or is of another era. Other nodes may still tell of it.
	invalid int64
	// rejections is the number of reads in a row that found their position invalid, with no
	// other reads between than those of the newest documents.
	rejections uint
	// failures is the number of consecutive failed reads.
	failures uint
	// reason is the last result of ReadReason.
	reason string
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
		w.standBy(ctx)
		settingsReads.Add(1)
		started := time.Now()
		update, err := w.read(ctx)
		if err != nil {
			w.reportFailure(started, err)
			w.handleFailure(ctx, err)
			continue
		}
		w.handleSuccess()
		if w.positionKnown {
			w.rejections = 0
		}
		waited := w.positionKnown && update.Next == w.next
		w.next = update.Next
		w.positionKnown = true
		w.applyUpdate(update)
		w.reportRead(started, waited)
	}
	return nil
}

// reportRead calls OnRead. A read that waited for a change in vain ended when the store had
// waited for readWait. The answer of any other read may be as old as its request.
func (w *Watcher) reportRead(started time.Time, waited bool) {
	if w.config.OnRead == nil {
		return
	}
	asOf := started
	if ended := started.Add(readWait); waited && ended.Before(time.Now()) {
		asOf = ended
	}
	w.config.OnRead(asOf)
}

// reportFailure calls OnFailure, unless the store answered that it no longer retains the changes.
func (w *Watcher) reportFailure(started time.Time, err error) {
	if w.config.OnFailure != nil && !errors.Is(err, logclient.ErrCompacted) {
		w.config.OnFailure(started)
	}
}

// read waits for changes from w.next on. If that position is not known, it reads
// the newest documents.
func (w *Watcher) read(ctx context.Context) (Update, error) {
	w.adoptPosition()
	if !w.positionKnown {
		ctx, cancel := context.WithTimeout(ctx, newestTimeout)
		defer cancel()
		return w.config.Source.Newest(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, readWait+waitMargin)
	defer cancel()
	return w.config.Source.Changes(ctx, w.next, readWait)
}

// adoptPosition continues after a document that came from another node.
func (w *Watcher) adoptPosition() {
	if w.config.Position == nil {
		return
	}
	if position := w.config.Position(); position > max(w.next, w.invalid) {
		w.next = position
		w.positionKnown = true
	}
}

// standBy waits while other nodes read the source, for standbyPeriod at most. A watcher
// without any version in force does not wait.
func (w *Watcher) standBy(ctx context.Context) {
	if w.config.ReadReason == nil {
		return
	}
	ticker := time.NewTicker(standbyCheck)
	defer ticker.Stop()
	for end := time.Now().Add(standbyPeriod); time.Now().Before(end); {
		w.updateReason()
		if w.reason != "" {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateReason stores why this node must read the source, and logs a change.
func (w *Watcher) updateReason() {
	reason := "noSettings"
	if w.config.Version() > 0 {
		reason = w.config.ReadReason()
	}
	if reason == w.reason {
		return
	}
	w.reason = reason
	fields := logrus.Fields{
		"reason":  reason,
		"version": w.config.Version(),
	}
	if reason == "" {
		w.config.Log.WithFields(fields).Info("settings are read by other nodes")
		return
	}
	w.config.Log.WithFields(fields).Info("settings are read by this node")
}

// handleFailure records a failed read and waits for an exponential backoff with
// jitter. The next read continues at the same position, unless the answer could not be
// decoded: then it gets the newest documents. If the read failed only because the source does not
// have the changes from w.next on, the next read does so at once.
func (w *Watcher) handleFailure(ctx context.Context, err error) {
	if errors.Is(err, logclient.ErrCompacted) {
		w.positionKnown = false
		w.invalid = max(w.invalid, w.next)
		era, offset := logclient.SplitPosition(w.next)
		w.config.Log.WithFields(logrus.Fields{
			"era":  era,
			"from": offset,
		}).Info("store does not have the changes from this position on; reading the newest settings")
		if w.rejections > 0 {
			w.backOff(ctx, w.rejections)
		}
		w.rejections++
		return
	}
	if w.failures == 0 && ctx.Err() == nil {
		w.config.Log.WithError(err).WithField("dependency", "store").Warn("dependency lost")
		w.reportAvailability(false)
	}
	if !errors.IsAny(err, logclient.ErrUnavailable, context.DeadlineExceeded, context.Canceled) {
		w.positionKnown = false
	}
	w.backOff(ctx, w.failures)
	w.failures++
}

// backOff waits longer the more failures there were in a row, with jitter.
func (w *Watcher) backOff(ctx context.Context, failures uint) {
	backoff := min(retryBase<<min(failures, 8), retryLimit)
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
		w.reportAvailability(true)
	}
	w.failures = 0
}

func (w *Watcher) reportAvailability(available bool) {
	if w.config.OnAvailability != nil {
		w.config.OnAvailability(available)
	}
}

// applyUpdate applies the documents that are newer than the version in force.
func (w *Watcher) applyUpdate(update Update) {
	for _, finding := range update.Findings {
		w.config.Log.WithError(finding).Warn("left out a part of the settings that has an error")
	}
	for _, leftOut := range update.LeftOut {
		if w.config.OnLeftOut != nil {
			w.config.OnLeftOut(leftOut.Version, leftOut.Err)
		}
	}
	for _, document := range update.Documents {
		before := w.config.Version()
		if document.Version <= before {
			continue
		}
		if err := w.config.ApplyDocument(document.Version, document.Path, document.Content, document.Next); err != nil {
			w.config.Log.WithError(err).WithField("version", document.Version).Warn("settings version not applied")
			continue
		}
		if w.config.Version() > before {
			w.config.OnVersion(document.Version, "store")
		}
	}
}
