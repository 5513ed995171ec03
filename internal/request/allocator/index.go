package allocator

import "github.com/laburnumshelf/laburnumshelf/internal/version/describer"

// Parts of the tolerance of the bound that the quotas use. In a window of 5 s, an organisation
// may have (Rate x 5 + Burst) x 1.1 + 20 requests, so its tolerance is a tenth of the quota of a
// window and 20 requests.
const (
	// spareRequests and spareRatio are the requests, and the part of the quota of a window,
	// that go to the burst. They make up for tokens at nodes that do not need them.
	spareRequests = 10
	spareRatio    = 0.03
	// reserveRatio is the part of the rate that may be granted although it is not known to
	// be free: all nodes together without a grant may use it, and so may an allocating node
	// that has just taken over.
	reserveRatio = 0.05
	// reserveTokens is the number of tokens that an allocating node may hand out right after
	// it has taken over.
	reserveTokens = 4
	windowSeconds = 5
)

// Name identifies an organisation of a team.
type Name struct {
	Team         string
	Organisation string
}

// Quota is what the settings allow one organisation.
type Quota struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is the number of requests at once.
	Burst float64
}

// Stock returns the number of tokens that may exist at once in all nodes together. It is the
// burst and a part of the tolerance.
func (q Quota) Stock() float64 {
	return q.Burst + spareRatio*(windowSeconds*q.Rate+q.Burst) + spareRequests
}

// UnconfirmedShare returns the rate of one of count nodes that has not had a grant yet.
func (q Quota) UnconfirmedShare(count int) float64 {
	return reserveRatio * q.Rate / float64(max(count, 1))
}

// Share returns the rate of one of count nodes that have equal shares.
func (q Quota) Share(count int) float64 {
	return q.Rate / float64(max(count, 1))
}

// Index holds the quotas of one version of the settings. It is immutable. A nil Index is empty.
type Index struct {
	version int64
	quotas  map[Name]Quota
}

// NewIndex returns the quotas in the settings.
func NewIndex(settings *describer.Settings) *Index {
	index := &Index{
		quotas: make(map[Name]Quota),
	}
	if settings == nil {
		return index
	}
	index.version = settings.Version
	for team, table := range settings.Hosts {
		for _, organisation := range table.Organisations {
			if organisation.Rate <= 0 {
				continue
			}
			name := Name{
				Team:         team,
				Organisation: organisation.Name,
			}
			index.quotas[name] = Quota{
				Rate:  organisation.Rate,
				Burst: max(organisation.Burst, 0),
			}
		}
	}
	return index
}

// Version returns the version of the settings.
func (i *Index) Version() int64 {
	if i == nil {
		return 0
	}
	return i.version
}

// Size returns the number of quotas.
func (i *Index) Size() int {
	if i == nil {
		return 0
	}
	return len(i.quotas)
}

// Lookup returns the quota of an organisation, and reports whether it has one.
func (i *Index) Lookup(name Name) (Quota, bool) {
	if i == nil {
		return Quota{}, false
	}
	quota, ok := i.quotas[name]
	return quota, ok
}
