package admitter

import (
	"slices"
	"time"
)

// Parameters of the crowding trial.
const (
	// reducedFill is the part of the slots that are used while the limit is reduced, and
	// crowdedFill the part from which a backend server may be crowded.
	reducedFill = 0.94
	crowdedFill = 0.95
	// minReducedFill is the part of the slots that a run must find taken for its time to be
	// compared with that of a run in a crowded server.
	minReducedFill = 0.85
	// An epoch, the time between two changes of the limit in a trial, lasts epochRunTimes mean
	// run times, but at least minEpoch. Runs that start in its first settleTime are not
	// compared, nor are those that end after the next epoch.
	epochRunTimes = 2
	minEpoch      = 130 * time.Millisecond
	settleTime    = 30 * time.Millisecond
	// minEpochRuns is the number of runs that an epoch needs.
	minEpochRuns = 20
	// trialPairs is the number of pairs of neighbouring epochs that a trial compares. Their
	// median is not moved by the few during which the server's speed changes.
	trialPairs = 15
	// minCrowdedRatio is the ratio of the run times from which the limit stays reduced. It
	// exceeds the loss of slots and the errors of the median.
	minCrowdedRatio = 1.12
	// trialPeriod is the time between the end of a trial and the next one.
	trialPeriod = 30 * time.Second
)

// crowding finds out whether a backend server becomes slower when nearly all of its slots are
// taken, so that it serves more calls if some stay free. While the server is nearly full, it
// reduces the limit for every other epoch and compares the run times.
type crowding struct {
	crowded    bool
	nextTrial  time.Time
	epochStart time.Time
	// number counts the epochs, and reduced tells whether the current one has the lower limit.
	number  int
	reduced bool
	// epoch is the length of the epochs, and runs holds those of the last epochs by number.
	epoch  time.Duration
	runs   [keptEpochs]epochRuns
	ratios []float64
}

// keptEpochs is the number of epochs whose runs are kept: the current one and a pair.
const keptEpochs = 3

// epochRuns sums the run times of one epoch.
type epochRuns struct {
	sum   time.Duration
	count int
}

func (r epochRuns) mean() float64 {
	return float64(r.sum) / float64(r.count)
}

// limit returns the number of calls that may run at once.
func (c *crowding) limit(slots int) int {
	if c.reduced || c.crowded && c.epochStart.IsZero() {
		return max(1, int(reducedFill*float64(slots)))
	}
	return slots
}

// recordStart records the start of a run, with the number of runs including it. It returns the
// number of the epoch if the run is to be compared, or else 0.
func (c *crowding) recordStart(now time.Time, running, slots int, meanRunTime time.Duration) int {
	c.advance(now)
	fill := float64(running) / float64(slots)
	if c.epochStart.IsZero() {
		if fill >= crowdedFill && !now.Before(c.nextTrial) && slots > minEpochRuns {
			c.epoch = max(minEpoch, epochRunTimes*meanRunTime)
			c.beginEpoch(now)
		}
		return 0
	}
	if now.Sub(c.epochStart) < settleTime || fill < minReducedFill || !c.reduced && fill < crowdedFill {
		return 0
	}
	return c.number
}

// recordFinish records the end of a run that started in the epoch of the given number.
func (c *crowding) recordFinish(now time.Time, number int, runTime time.Duration) {
	c.advance(now)
	if number > 0 && number >= c.number-1 {
		runs := &c.runs[number%keptEpochs]
		runs.sum += runTime
		runs.count++
	}
}

// beginEpoch begins the next epoch of a trial.
func (c *crowding) beginEpoch(now time.Time) {
	c.epochStart = now
	c.number++
	c.reduced = !c.reduced
	c.runs[c.number%keptEpochs] = epochRuns{}
}

// advance ends the epoch if it is over, and the trial if it has enough pairs. A pair is an epoch
// with the lower limit and the one after it. It is compared when the runs of both had the
// length of an epoch to end.
func (c *crowding) advance(now time.Time) {
	if c.epochStart.IsZero() || now.Sub(c.epochStart) < c.epoch {
		return
	}
	if c.reduced && c.number >= keptEpochs {
		reduced, full := c.runs[(c.number-2)%keptEpochs], c.runs[(c.number-1)%keptEpochs]
		if reduced.count >= minEpochRuns && full.count >= minEpochRuns {
			c.ratios = append(c.ratios, full.mean()/reduced.mean())
		}
	}
	if len(c.ratios) < trialPairs {
		c.beginEpoch(now)
		return
	}
	slices.Sort(c.ratios)
	c.crowded = c.ratios[trialPairs/2] >= minCrowdedRatio
	*c = crowding{
		crowded:   c.crowded,
		nextTrial: now.Add(trialPeriod),
	}
}
