package dispatcher

import "time"

// byteLimiter limits the rate at which one node sends bytes to other regions for one
// team.
type byteLimiter struct {
	balance float64
	updated time.Time
}

// burstDuration sets the burst size: the bytes that the rate permits in this time may be
// sent at once.
const burstDuration = time.Second

// allow charges size bytes and reports whether the rate permits them. The balance may
// become negative by the size of one body, so that a body larger than the burst passes.
func (b *byteLimiter) allow(now time.Time, bytesPerSecond, size int64) bool {
	if bytesPerSecond <= 0 {
		return true
	}
	burst := float64(bytesPerSecond) * burstDuration.Seconds()
	if b.updated.IsZero() {
		b.balance = burst
	}
	b.balance = min(burst, b.balance+now.Sub(b.updated).Seconds()*float64(bytesPerSecond))
	b.updated = now
	if b.balance <= 0 {
		return false
	}
	b.balance -= float64(size)
	return true
}
