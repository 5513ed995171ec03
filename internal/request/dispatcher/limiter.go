package dispatcher

import "time"

// byteLimiter bounds the volume that one node sends over the links between
// regions for one team.
type byteLimiter struct {
	balance float64
	at      time.Time
}

// burstTime is the time whose volume may be sent at once.
const burstTime = time.Second

// allow takes size bytes and reports whether the rate allowed them. The balance
// may become negative by one body, so that a body larger than the burst passes.
func (b *byteLimiter) allow(now time.Time, bytesPerSecond, size int64) bool {
	if bytesPerSecond <= 0 {
		return true
	}
	burst := float64(bytesPerSecond) * burstTime.Seconds()
	if b.at.IsZero() {
		b.balance = burst
	}
	b.balance = min(burst, b.balance+now.Sub(b.at).Seconds()*float64(bytesPerSecond))
	b.at = now
	if b.balance <= 0 {
		return false
	}
	b.balance -= float64(size)
	return true
}
