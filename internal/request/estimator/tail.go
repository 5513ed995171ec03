package estimator

import "math"

const (
	// Bucket i of a tail holds the run times up to 2^((i+1)/2-tailOffset) times the mean.
	tailBuckets = 16
	tailOffset  = 3
	// tailRefresh is the number of runs between two calculations of the remaining times,
	// and tailHalving the one after which all counts are halved.
	tailRefresh = 32
	tailHalving = 512
	// minTailRuns is the number of runs below which run times count as exponentially
	// distributed: the remaining time does not depend on the age.
	minTailRuns = 64
	// tailGrowth is the expected remaining time of a call that runs for longer than all
	// known ones, as a fraction of its age.
	tailGrowth = 0.5
)

// tail is the distribution of run times, as multiples of the mean.
type tail struct {
	counts [tailBuckets]float64
	total  float64
	fresh  int
	left   [tailBuckets]float64
	// deviation is the standard deviation, as a multiple of the mean.
	deviation float64
	known     bool
}

// bucketOf returns the bucket of a run time, as a multiple of the mean. It does without a
// logarithm, because it is called for each open call of a server many times a second.
func bucketOf(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	fraction, exponent := math.Frexp(ratio)
	halfOctaves := 2 * exponent
	if fraction <= math.Sqrt2/2 {
		halfOctaves--
	}
	return min(max(halfOctaves+2*tailOffset-1, 0), tailBuckets-1)
}

// upperBounds holds the upper bound of each bucket.
var upperBounds = func() (bounds [tailBuckets]float64) {
	for bucket := range bounds {
		bounds[bucket] = math.Exp2(float64(bucket+1)/2 - tailOffset)
	}
	return bounds
}()

// observe adds one run time.
func (d *tail) observe(ratio float64) {
	d.counts[bucketOf(ratio)]++
	d.total++
	if d.total >= tailHalving {
		d.total = 0
		for i := range d.counts {
			d.counts[i] /= 2
			d.total += d.counts[i]
		}
	}
	d.fresh++
	if d.fresh >= tailRefresh && d.total >= minTailRuns {
		d.refresh()
	}
}

// refresh calculates the mean remaining time at the beginning of each bucket.
func (d *tail) refresh() {
	d.fresh = 0
	d.known = true
	count, sum, squares := 0.0, 0.0, 0.0
	for i := tailBuckets - 1; i >= 0; i-- {
		lower := 0.0
		if i > 0 {
			lower = upperBounds[i-1]
		}
		count += d.counts[i]
		middle := (lower + upperBounds[i]) / 2
		sum += d.counts[i] * middle
		squares += d.counts[i] * middle * middle
		if count < 1 {
			d.left[i] = tailGrowth * lower
			continue
		}
		d.left[i] = sum/count - lower
	}
	mean := sum / count
	d.deviation = math.Sqrt(max(squares/count/(mean*mean)-1, 0))
}

// spread returns the standard deviation of the run times, as a multiple of the mean.
func (d *tail) spread() float64 {
	if !d.known {
		return 1
	}
	return d.deviation
}

// remaining returns the mean remaining run time at an age, both as multiples of the mean.
func (d *tail) remaining(age float64) float64 {
	if !d.known {
		return max(1, tailGrowth*age)
	}
	bucket := bucketOf(age)
	if bucket == tailBuckets-1 {
		return max(d.left[bucket], tailGrowth*age)
	}
	lower, upper := 0.0, upperBounds[bucket]
	if bucket > 0 {
		lower = upperBounds[bucket-1]
	}
	part := min(max((age-lower)/(upper-lower), 0), 1)
	return d.left[bucket] + part*(d.left[bucket+1]-d.left[bucket])
}
