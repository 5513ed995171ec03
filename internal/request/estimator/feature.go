package estimator

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// The features of a call that may refine the estimate of its route.
const (
	featurePath = iota
	featureSize
	featureOrganisation
	featureCaller
	featureCount
)

const (
	// maxValues bounds the values of one feature of a route, and maxTableValues those of all
	// features and routes, which take about 1 MB. Beyond that, a new value takes the place of
	// an old one of the same feature.
	maxValues      = 256
	maxTableValues = 16_384
	// A feature is used when its errors are below useRatio of those of the route alone, and
	// until they exceed dropRatio of them.
	useRatio  = 0.9
	dropRatio = 0.97
	// errorWeight is the weight of a run in the mean errors.
	errorWeight = 0.02
	// priorRuns is the number of runs that the mean of the route counts for in the mean of
	// a value of a feature.
	priorRuns = 3
	// maxValueWeight bounds the weight of the earlier runs of a value.
	maxValueWeight = 32
)

// feature holds the relative cost of the calls with each value of one feature.
type feature struct {
	values map[uint64]*value
	// runs counts the runs of the feature; values store it to tell which is the oldest.
	runs uint32
	// err is the mean error of the estimates by this feature.
	err float64
}

// value is the mean cost of the calls with one value of a feature, as a multiple of the mean of
// the route.
type value struct {
	ratio    float64
	weight   float64
	lastSeen uint32
}

// factor returns the expected cost, as a multiple of the mean of the route. Few runs count
// little.
func (v *value) factor() float64 {
	if v == nil {
		return 1
	}
	return (v.ratio*v.weight + priorRuns) / (v.weight + priorRuns)
}

// valueOf returns the value of a feature of the call, and whether the call has it.
func valueOf(key Key, which int) (uint64, bool) {
	switch which {
	case featurePath:
		return xxhash.Sum64String(key.Path), key.Path != ""
	case featureSize:
		return uint64(bits.Len64(uint64(max(key.Size, 0)))), key.Size >= 0
	case featureOrganisation:
		return xxhash.Sum64String(key.Organisation), key.Organisation != ""
	default:
		return xxhash.Sum64String(key.CallerService), key.CallerService != ""
	}
}

// featureFactor returns the expected cost of a call as a multiple of the mean of the route.
func (r *route) featureFactor(key Key) float64 {
	if r.chosen == featureCount {
		return 1
	}
	id, ok := valueOf(key, r.chosen)
	if !ok {
		return 1
	}
	return r.features[r.chosen].values[id].factor()
}

// observeFeatures records the cost of a run at a slowdown of 1 with each of its features,
// and chooses the feature with the lowest error.
func (t *Table) observeFeatures(r *route, key Key, normal float64) {
	if r.weight <= 1 || r.mean <= 0 {
		return
	}
	ratio := min(normal/r.mean, maxSampleRatio)
	r.routeError += errorWeight * (math.Abs(ratio-1) - r.routeError)
	for which := range r.features {
		before := len(r.features[which].values)
		r.features[which].observe(key, which, ratio, t.values < maxTableValues)
		t.values += len(r.features[which].values) - before
	}
	r.choose()
}

// choose sets the feature that refines the estimate.
func (r *route) choose() {
	best := featureCount
	limit := useRatio * r.routeError
	for which := range r.features {
		if r.features[which].values != nil && r.features[which].err < limit {
			best, limit = which, r.features[which].err
		}
	}
	if best != featureCount || r.chosen == featureCount || r.features[r.chosen].err > dropRatio*r.routeError {
		r.chosen = best
	}
}

// observe records the relative cost of a run. mayGrow reports whether there is memory for
// another value.
func (f *feature) observe(key Key, which int, ratio float64, mayGrow bool) {
	id, ok := valueOf(key, which)
	var v *value
	if ok {
		v = f.values[id]
	}
	f.err += errorWeight * (math.Abs(ratio-v.factor()) - f.err)
	if !ok {
		return
	}
	f.runs++
	if v == nil {
		if !mayGrow && len(f.values) == 0 {
			return
		}
		v = f.add(id, mayGrow)
	}
	v.weight = min(v.weight+1, maxValueWeight)
	v.ratio += (ratio - v.ratio) / v.weight
	v.lastSeen = f.runs
}

// add adds a value. If there are too many, it removes the oldest of a few of them.
func (f *feature) add(id uint64, mayGrow bool) *value {
	if f.values == nil {
		f.values = make(map[uint64]*value)
	}
	if len(f.values) >= maxValues || !mayGrow {
		const compared = 8
		var oldest uint64
		oldestAge := uint32(0)
		n := 0
		for other, v := range f.values {
			if age := f.runs - v.lastSeen; n == 0 || age > oldestAge {
				oldest, oldestAge = other, age
			}
			if n++; n == compared {
				break
			}
		}
		delete(f.values, oldest)
	}
	v := &value{}
	f.values[id] = v
	return v
}
