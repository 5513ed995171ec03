package throttler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// rate is the requests of a route at one node, a second.
const rate = 40

var policy = Policy{LowFailureRatio: 0.05, HighFailureRatio: 0.12, DecreaseFactor: 0.6}

// play sends requests for some time, of which capacity a second are served and a
// share of natural ones fails, and returns the shares let in and served.
func play(t *Throttler, now *time.Time, capacity, natural float64, length time.Duration) (let, served float64) {
	step := time.Second / rate
	room := 0.0
	sent := 0.0
	for at := time.Duration(0); at < length; at += step {
		*now = now.Add(step)
		room = min(room+capacity/rate, 3)
		sent++
		if !t.Admit(*now, "r", policy) {
			continue
		}
		let++
		ok := room >= 1
		if ok {
			room--
		}
		ok = ok && t.rng.Float64() >= natural
		failed := 1.0
		if ok {
			served++
			failed = 0
		}
		t.RecordResult(*now, "r", failed)
	}
	return let / sent, served / sent
}

func newThrottler() (*Throttler, time.Time) {
	return New(rand.New(rand.NewPCG(1, 2))), time.Unix(0, 0)
}

func TestLoadSettlesNearWhatIsServed(t *testing.T) {
	throttler, now := newThrottler()
	play(throttler, &now, rate/2, 0, 5*time.Second)
	let, served := play(throttler, &now, rate/2, 0, 20*time.Second)
	if let > 0.7 || served < 0.4 {
		t.Errorf("at twice the capacity: got %.2f let in and %.2f served, want at most 0.7 and at least 0.4", let, served)
	}
}

func TestAllIsLetInSoonAfterASurge(t *testing.T) {
	throttler, now := newThrottler()
	play(throttler, &now, rate/5, 0, 20*time.Second)
	// 95% of the demand is to be served 5 s after a surge.
	play(throttler, &now, 2*rate, 0, 5*time.Second)
	if let, _ := play(throttler, &now, 2*rate, 0, 5*time.Second); let < 0.95 {
		t.Errorf("from 5 s after the surge: got %.2f let in, want 0.95", let)
	}
}

func TestNaturalFailuresRefuseLittle(t *testing.T) {
	throttler, now := newThrottler()
	if let, _ := play(throttler, &now, 2*rate, 0.02, time.Minute); let < 0.97 {
		t.Errorf("2%% failures: got %.2f let in, want 0.97", let)
	}
}

func TestNothingServedStillLetsSomeIn(t *testing.T) {
	throttler, now := newThrottler()
	play(throttler, &now, 0, 0, 20*time.Second)
	if let, _ := play(throttler, &now, 0, 0, 20*time.Second); let < leastShare/2 || let > 2*leastShare {
		t.Errorf("got %.2f let in, want %.2f", let, leastShare)
	}
}
