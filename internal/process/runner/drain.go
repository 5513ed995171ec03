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

// Drain starts a graceful stop: the node announces that it leaves, refuses new
// work, finishes what runs and then stops.
func (n *Node) Drain() {
	n.drainOnce.Do(func() {
		n.stopBy.Store(time.Now().Add(time.Duration(n.stopTimeout.Load())).UnixNano())
		n.executor.Leave()
		n.announcer.Leave()
		close(n.draining)
		n.log.WithFields(logrus.Fields{
			"node": n.config.ID,
			"open": n.executor.OpenCalls(),
		}).Info("draining")
	})
}

// stopMargin is left of the stop timeout for closing connections.
const stopMargin = 500 * time.Millisecond

// awaitDrain returns once the node has drained or its stop timeout is over.
func (n *Node) awaitDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		n.reportCut("stopped")
		return nil
	case <-n.draining:
	}
	timeout := time.NewTimer(time.Duration(n.stopTimeout.Load()) - stopMargin)
	defer timeout.Stop()
	lingered := make(chan struct{})
	linger := time.AfterFunc(leaveTime, func() {
		close(lingered)
	})
	defer linger.Stop()
	// Callers may send requests while the node lingers, so the waits for open
	// calls begin after it.
	steps := []func() <-chan struct{}{
		func() <-chan struct{} { return lingered },
		n.closeCalls,
		n.executor.Idle,
		func() <-chan struct{} { return n.callsIdle(ctx) },
	}
	for _, step := range steps {
		select {
		case <-step():
		case <-timeout.C:
			n.reportCut("stop timeout")
			return nil
		case <-ctx.Done():
			n.reportCut("stopped")
			return nil
		}
	}
	n.log.WithField("node", n.config.ID).Info("drained")
	return nil
}

// closeCalls takes no more new requests on the users' platform, where a node that
// says that it is not ready still gets some, and tells callers to close their
// connections. Calls of the local backend server pass, for what it still runs.
func (n *Node) closeCalls() <-chan struct{} {
	if n.config.Platform != nil {
		n.closing.Store(true)
		n.callServer.SetKeepAlivesEnabled(false)
	}
	done := make(chan struct{})
	close(done)
	return done
}

// callsIdle returns a channel that is closed once no caller's request is open.
func (n *Node) callsIdle(ctx context.Context) <-chan struct{} {
	const poll = 20 * time.Millisecond
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(poll)
		defer ticker.Stop()
		for n.openCalls.Load() > 0 && ctx.Err() == nil {
			<-ticker.C
		}
		close(done)
	}()
	return done
}

// reportCut logs what an ungraceful stop cuts off.
func (n *Node) reportCut(cause string) {
	n.log.WithFields(logrus.Fields{
		"node":     n.config.ID,
		"cause":    cause,
		"cutCalls": n.executor.OpenCalls(),
		"cutOwn":   n.openCalls.Load(),
	}).Warn("stopped before the drain ended")
}

// Status implements administrator.Node.
func (n *Node) Status() administrator.Status {
	load := n.executor.Load()
	packets, bytes := n.announcer.SentTraffic()
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
		InFlight:        load.InFlight,
		Limit:           load.Limit,
		Queued:          load.Queued,
		Threshold:       int(load.Threshold),
		OpenCalls:       n.executor.OpenCalls(),
		Members:         len(n.announcer.Members()),
		Sessions:        n.dialer.Sessions(),
		GossipPackets:   packets,
		GossipBytes:     bytes,
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
