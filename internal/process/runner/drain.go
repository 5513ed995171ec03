package runner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/process/administrator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/router"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Drain starts a graceful stop. The node announces that it is leaving and refuses new
// calls to its backend server. It then finishes the open calls and requests and stops.
// On the users' platform, it still accepts callers' requests for lingerTime; elsewhere
// it refuses new requests of clients at once. Further calls of Drain do nothing.
func (n *Node) Drain() {
	n.drainOnce.Do(func() {
		n.stopDeadline.Store(time.Now().Add(time.Duration(n.stopTimeout.Load())).UnixNano())
		n.executor.Leave()
		n.announcer.Leave()
		close(n.draining)
		n.log.WithFields(logrus.Fields{
			"node": n.config.ID,
			"open": n.executor.OpenCalls(),
		}).Info("draining")
	})
}

// Parts of the stop timeout. The platform kills a process that is still there at its end,
// and an instance that shares its processor may be late with everything.
const (
	// stopMarginPart of the stop timeout is reserved for closing connections after open
	// calls were cut off, but at least minStopMargin.
	stopMarginPart = 8
	minStopMargin  = 500 * time.Millisecond
	// exitMarginPart of that margin is reserved for the exit of the process.
	exitMarginPart = 2
)

// stopMargin returns the part of the stop timeout that is reserved for closing connections
// and for the exit.
func (n *Node) stopMargin() time.Duration {
	return max(time.Duration(n.stopTimeout.Load())/stopMarginPart, minStopMargin)
}

// certainMargin is how long before the end of the linger time the node begins to refuse requests
// that may outlive the stop, and how long before the cut those must end that it passes on. A
// caller counts the linger time from the signal, which may be handled late.
const certainMargin = 300 * time.Millisecond

// maxLingerThirds is how many thirds of the time until open calls are cut the linger time may
// take.
const maxLingerThirds = 2

// awaitDrain returns once the node has drained, shortly before the stop timeout
// ends, or when ctx is done. No request is passed on after that, since its connection may
// already be closing.
func (n *Node) awaitDrain(ctx context.Context) error {
	defer n.gate.Close()
	select {
	case <-ctx.Done():
		n.logForcedStop("stopped")
		return nil
	case <-n.draining:
	}
	untilCut := time.Duration(n.stopTimeout.Load()) - n.stopMargin()
	cut := time.Now().Add(untilCut)
	timeout := time.NewTimer(untilCut)
	defer timeout.Stop()
	// Callers may send requests until the linger time ends, so the node waits for
	// open calls only after that. A short stop must leave time for that too.
	linger := min(lingerTime, untilCut*maxLingerThirds/3)
	steps := []func() <-chan struct{}{
		func() <-chan struct{} { return after(linger - certainMargin) },
		func() <-chan struct{} { return n.requireEnd(cut) },
		n.refuseClients,
		n.executor.Idle,
		n.gate.CloseWhenIdle,
	}
	for _, step := range steps {
		select {
		case <-step():
		case <-timeout.C:
			n.logForcedStop("stop timeout")
			return nil
		case <-ctx.Done():
			n.logForcedStop("stopped")
			return nil
		}
	}
	n.log.WithField("node", n.config.ID).Info("drained")
	return nil
}

// after returns a channel that is closed after a delay.
func after(delay time.Duration) <-chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(delay, func() {
		close(done)
	})
	return done
}

// requireEnd makes the node refuse requests on the users' platform that may outlive the stop,
// and returns a channel that is closed at the end of the linger time. Outside the platform,
// Dispatch refuses new requests as soon as the drain starts.
func (n *Node) requireEnd(cut time.Time) <-chan struct{} {
	if n.config.Platform != nil {
		n.gate.RequireEnd(cut.Add(-certainMargin))
	}
	return after(certainMargin)
}

// refuseClients makes the node refuse new requests of clients on the users' platform. It is
// needed there because a node that reports that it is not ready still receives some requests.
// Calls on internal routes are still made if they end in time, because requests that the local
// backend server still runs depend on them. The returned channel is closed, because there is
// nothing to wait for.
func (n *Node) refuseClients() <-chan struct{} {
	if n.config.Platform != nil {
		n.gate.RefuseClients()
	}
	return after(0)
}

// logForcedStop logs a stop before the end of the drain. It logs the number of open
// calls at the local backend server and of requests from callers that were passed on, because
// the stop cuts them off.
func (n *Node) logForcedStop(cause string) {
	n.log.WithFields(logrus.Fields{
		"node":     n.config.ID,
		"cause":    cause,
		"cutCalls": n.executor.OpenCalls(),
		"cutOwn":   n.gate.Open(),
	}).Warn("stopped before the drain ended")
}

// Status implements administrator.Node.
func (n *Node) Status() administrator.Status {
	load := n.executor.Load()
	packets, bytes := n.announcer.SentTraffic()
	era, restored := n.announcer.Era()
	state := "serving"
	select {
	case <-n.draining:
		state = "leaving"
	default:
	}
	return administrator.Status{
		ID:              n.config.ID,
		Region:          n.config.Region,
		Zone:            n.config.Zone,
		Service:         n.config.Service.String(),
		State:           state,
		SettingsVersion: n.follower.State().Version,
		LeftOut:         n.leftOutStatus(),
		StoreEra:        era,
		StoreRestored:   restored,
		InFlight:        load.InFlight,
		Limit:           load.Limit,
		Queued:          load.Queued,
		Threshold:       int(load.Threshold),
		OpenCalls:       n.executor.OpenCalls(),
		Members:         len(n.announcer.Members()),
		Sessions:        n.dialer.SessionCount(),
		GossipPackets:   packets,
		GossipBytes:     bytes,
		Organisations:   n.organisationStatus(),
	}
}

// leftOutStatus returns the version of the settings that this node could not apply, or nil.
func (n *Node) leftOutStatus() *administrator.LeftOut {
	leftOut, exists := n.follower.LeftOut()
	if !exists {
		return nil
	}
	return &administrator.LeftOut{
		Version: leftOut.Version,
		Reason:  leftOut.Reason,
		Since:   leftOut.Since,
	}
}

// Members implements administrator.Node.
func (n *Node) Members() []administrator.Member {
	members := n.announcer.Members()
	list := make([]administrator.Member, len(members))
	for i, member := range members {
		list[i] = administrator.Member{
			ID:           member.GetId(),
			State:        stateName(member.GetState()),
			Region:       member.GetRegion(),
			Zone:         member.GetZone(),
			Service:      router.ServiceOf(member).String(),
			PeerAddress:  member.GetPeerAddress(),
			AdminAddress: member.GetHttpAddress(),
		}
	}
	return list
}

func stateName(state encoder.MemberState) string {
	switch state {
	case encoder.MemberState_ALIVE:
		return "alive"
	case encoder.MemberState_SUSPECT:
		return "suspect"
	case encoder.MemberState_LEAVING:
		return "leaving"
	default:
		return "dead"
	}
}

// Documents implements administrator.Node.
func (n *Node) Documents() []administrator.Document {
	documents := n.follower.State().Documents()
	list := make([]administrator.Document, len(documents))
	for i, document := range documents {
		list[i] = administrator.NewDocument(document)
	}
	return list
}

// Decisions implements administrator.Node.
func (n *Node) Decisions(requestID string) []recorder.ExportedDecision {
	return n.recorder.Find(requestID)
}
