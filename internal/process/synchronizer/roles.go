package synchronizer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

const (
	// readersPerRegion is the lowest number of nodes in a region that read the operator's
	// settings for all of it, and membersPerReader the number of nodes for which another
	// one reads.
	readersPerRegion = 2
	membersPerReader = 16
	// assignmentPeriod is how long an assignment is used before it is computed again from
	// the members.
	assignmentPeriod = 500 * time.Millisecond
)

// assignment is a node's part in reading the operator's settings for its region.
type assignment struct {
	computed time.Time
	// reason is why the node reads, or "" if it does not.
	reason string
	// confirmTo are the members to which the node confirms its version after each read.
	confirmTo []*encoder.Member
}

// IsLogReader reports whether this node is one of the readersPerZone members of
// its availability zone that read the log often.
func (s *Synchronizer) IsLogReader() bool {
	own := xxhash.Sum64String(s.config.Self.GetId())
	lower := 0
	for _, member := range s.config.Members() {
		if member.GetState() == encoder.MemberState_ALIVE && s.inZone(member) && xxhash.Sum64String(member.GetId()) < own {
			lower++
		}
	}
	return lower < readersPerZone
}

// ReadReason returns why this node must read the operator's settings itself, or "" while
// other members of its region read them for it.
func (s *Synchronizer) ReadReason() string {
	if reason := s.assignment().reason; reason != "" {
		return reason
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.behindSince.IsZero() && elapsed(s.behindSince) > maxBehind:
		return "behind"
	case elapsed(s.confirmed) > maxUnconfirmed:
		return "unconfirmed"
	default:
		return ""
	}
}

// assignment returns this node's part in reading the operator's settings.
func (s *Synchronizer) assignment() assignment {
	s.mu.Lock()
	current := s.assigned
	s.mu.Unlock()
	if !current.computed.IsZero() && elapsed(current.computed) < assignmentPeriod {
		return current
	}
	current = s.assign()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assigned = current
	return current
}

// assign computes this node's part from the members. Each node that does not read gets
// confirmations from two readers.
func (s *Synchronizer) assign() assignment {
	readers, others := s.splitRegion()
	result := assignment{
		computed: time.Now(),
	}
	own := slices.IndexFunc(readers, s.isSelf)
	switch {
	case own >= 0:
		result.reason = "reader"
	case len(readers) < readersPerRegion:
		result.reason = "fewReaders"
	}
	for i, member := range others {
		if own >= 0 && (i%len(readers) == own || (i+1)%len(readers) == own) {
			result.confirmTo = append(result.confirmTo, member)
		}
	}
	return result
}

// splitRegion returns the members that read the operator's settings for this node's region,
// and the other members there. The readers are the first ones by hash that are alive and reach
// the store.
func (s *Synchronizer) splitRegion() (readers, others []*encoder.Member) {
	var able []*encoder.Member
	for _, member := range s.config.Members() {
		switch {
		case !s.inRegion(member):
		case member.GetState() == encoder.MemberState_ALIVE && !member.GetStoreLost():
			able = append(able, member)
		default:
			others = append(others, member)
		}
	}
	byHash := func(a, b *encoder.Member) int {
		return cmp.Compare(xxhash.Sum64String(a.GetId()), xxhash.Sum64String(b.GetId()))
	}
	slices.SortFunc(able, byHash)
	count := max(readersPerRegion, (len(able)+len(others)+membersPerReader-1)/membersPerReader)
	count = min(count, len(able))
	others = append(others, able[count:]...)
	slices.SortFunc(others, byHash)
	return able[:count], others
}

// readers returns the members that read the operator's settings for this node's region.
func (s *Synchronizer) readers() []*encoder.Member {
	readers, _ := s.splitRegion()
	return readers
}

func (s *Synchronizer) isSelf(member *encoder.Member) bool {
	return member.GetId() == s.config.Self.GetId()
}

func (s *Synchronizer) inRegion(member *encoder.Member) bool {
	return member.GetRegion() == s.config.Self.GetRegion()
}

func (s *Synchronizer) inZone(member *encoder.Member) bool {
	return s.inRegion(member) && member.GetZone() == s.config.Self.GetZone()
}

// sources returns the members to ask for an announced version: the member that announced it
// if it is in this node's region, or else the region's readers before it, because links
// between regions have a cost.
func (s *Synchronizer) sources(a announcement) []*encoder.Member {
	if s.inRegion(a.member) {
		return []*encoder.Member{a.member}
	}
	return append(slices.DeleteFunc(s.readers(), s.isSelf), a.member)
}
