package dialer

import (
	"context"
	"time"

	"github.com/hashicorp/yamux"
)

// Parameters of the check of a session with an overdue call.
const (
	// severedPingTimeout is how long the answer to a ping may take. A peer that is slower does
	// not lose its calls, since it does not answer over a new connection either.
	severedPingTimeout = 100 * time.Millisecond
	// severedSettleTime is how long the old connection may be slower than the new one. With
	// severedPingTimeout it leaves time for one retransmission, which TCP on Linux makes after
	// 200 ms at the earliest.
	severedSettleTime = 200 * time.Millisecond
)

// endIfSevered ends the stream of an overdue call if its connection is severed: the answer can then
// not arrive. A call to a peer that is only slow goes on.
func (s *session) endIfSevered(stream *yamux.Stream) {
	if s.isSevered() {
		stream.Close()
		stream.SetDeadline(time.Unix(1, 0))
	}
}

// isSevered reports whether the connection of s delivers nothing although the peer answers over
// another one. Calls that are overdue at the same time share one check, and later ones its result
// until the connection delivers something again.
func (s *session) isSevered() bool {
	asked := time.Now()
	s.checking.Lock()
	defer s.checking.Unlock()
	if s.severed && s.conn.lastRead.Load() > s.checked.UnixNano() {
		s.severed = false
	}
	if s.checked.Before(asked) && !s.severed && !s.IsClosed() {
		s.severed = s.checkSevered()
		s.checked = time.Now()
	}
	return s.severed
}

func (s *session) checkSevered() bool {
	started := time.Now()
	if answersPing(s, severedPingTimeout) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), severedPingTimeout)
	defer cancel()
	other, err := s.peer.connect(ctx, s)
	if err != nil {
		return false
	}
	if !answersPing(other, severedPingTimeout) {
		s.replace(other)
		return false
	}
	time.Sleep(severedSettleTime)
	return s.conn.lastRead.Load() <= started.UnixNano()
}

// replace makes s the current session again in place of other, unless s is closed. Otherwise each
// check at a slow peer would leave a session with the calls that began during the check.
func (s *session) replace(other *session) {
	p := s.peer
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session == other && !s.IsClosed() {
		p.session = s
	}
}
