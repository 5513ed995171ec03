package throttler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// rate is the number of requests of a route per second at one node.
const rate = 40

var policy = Policy{LowFailureRatio: 0.05, HighFailureRatio: 0.12, DecreaseFactor: 0.6}

// simulate sends requests for the given time and returns the fractions that were admitted
// and served. The backend server can serve the given capacity in requests per second. A
// fraction misattributedFailures of the requests within its capacity fails for a reason
// other than overload, but is recorded as due to overload.
func simulate(t *Throttler, now *time.Time, capacity, misattributedFailures float64, length time.Duration) (admitted, served float64) {
	step := time.Second / rate
	credit := 0.0
	sent := 0.0
	for at := time.Duration(0); at < length; at += step {
		*now = now.Add(step)
		credit = min(credit+capacity/rate, 3)
		sent++
		if !t.Admit(*now, "r", policy) {
			continue
		}
		admitted++
		ok := credit >= 1
		if ok {
			credit--
		}
		ok = ok && t.rng.Float64() >= misattributedFailures
		overloadRatio := 1.0
		if ok {
			served++
			overloadRatio = 0
		}
		t.RecordResult(*now, "r", overloadRatio)
	}
	return admitted / sent, served / sent
}

func newThrottler() (*Throttler, time.Time) {
	return New(rand.New(rand.NewPCG(1, 2))), time.Unix(0, 0)
}

func TestAdmittedLoadSettlesNearCapacity(t *testing.T) {
	throttler, now := newThrottler()
	simulate(throttler, &now, rate/2, 0, 5*time.Second)
	admitted, served := simulate(throttler, &now, rate/2, 0, 20*time.Second)
	if admitted > 0.7 || served < 0.4 {
		t.Errorf("requests at twice the capacity: got %.2f admitted and %.2f served, want at most 0.7 and at least 0.4", admitted, served)
	}
}

func TestAllRequestsAreAdmittedSoonAfterOverload(t *testing.T) {
	throttler, now := newThrottler()
	simulate(throttler, &now, rate/5, 0, 20*time.Second)
	// From 5 s after the overload ends, 95% of the requests must be admitted.
	simulate(throttler, &now, 2*rate, 0, 5*time.Second)
	if admitted, _ := simulate(throttler, &now, 2*rate, 0, 5*time.Second); admitted < 0.95 {
		t.Errorf("from 5 s after the end of the overload: got %.2f admitted, want at least 0.95", admitted)
	}
}

func TestFewMisattributedFailuresCauseFewRefusals(t *testing.T) {
	throttler, now := newThrottler()
	if admitted, _ := simulate(throttler, &now, 2*rate, 0.02, time.Minute); admitted < 0.97 {
		t.Errorf("2%% of failures mistaken for overload: got %.2f admitted, want at least 0.97", admitted)
	}
}

func TestSomeRequestsAreAdmittedWhenAllFail(t *testing.T) {
	throttler, now := newThrottler()
	simulate(throttler, &now, 0, 0, 20*time.Second)
	if admitted, _ := simulate(throttler, &now, 0, 0, 20*time.Second); admitted < minAdmitProbability/2 || admitted > 2*minAdmitProbability {
		t.Errorf("no request is served: got %.2f admitted, want about %.2f", admitted, minAdmitProbability)
	}
}
