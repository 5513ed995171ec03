package follower

import (
	"expvar"
	"strings"
	"time"
)

// versionsLeftOut counts the versions of the settings that could not be applied.
var versionsLeftOut = expvar.NewInt("versionsLeftOut")

// maxReasonBytes bounds LeftOut.Reason. A document may have very many findings.
const maxReasonBytes = 512

// LeftOut is a version of the settings that was received and cannot be applied.
type LeftOut struct {
	// Version is 0 if the version could not be read.
	Version int64
	Reason  string
	// Since is the time at which the version was received first.
	Since time.Time
	// inForce is the version in force at that time.
	inForce int64
}

// LeaveOut stores that a version of the settings cannot be applied. version is 0 if it could not be
// read.
func (f *Follower) LeaveOut(version int64, reason error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaveOut(version, reason)
}

// leaveOut is LeaveOut for callers that hold f.mu.
func (f *Follower) leaveOut(version int64, reason error) {
	if version > 0 && version <= f.state.Version {
		return
	}
	next := LeftOut{
		Version: version,
		Reason:  shorten(reason.Error()),
		Since:   time.Now(),
		inForce: f.state.Version,
	}
	if known, exists := f.currentLeftOut(); exists {
		repeated := known.Version == version && known.Reason == next.Reason
		older := version > 0 && version < known.Version
		if repeated || older {
			return
		}
	}
	f.leftOut = next
	versionsLeftOut.Add(1)
}

// shorten returns the beginning of text.
func shorten(text string) string {
	if len(text) <= maxReasonBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxReasonBytes], "") + "..."
}

// LeftOut returns the newest version that was left out, until it or a later one is in force. It reports
// whether there is one.
func (f *Follower) LeftOut() (LeftOut, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.currentLeftOut()
}

// currentLeftOut is LeftOut for callers that hold f.mu.
func (f *Follower) currentLeftOut() (LeftOut, bool) {
	if f.leftOut.Reason == "" {
		return LeftOut{}, false
	}
	if f.leftOut.Version == 0 {
		return f.leftOut, f.state.Version == f.leftOut.inForce
	}
	return f.leftOut, f.state.Version < f.leftOut.Version
}
