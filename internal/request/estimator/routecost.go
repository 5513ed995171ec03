package estimator

import "time"

// RouteCost is the JSON form of what is known of the cost of a route.
type RouteCost struct {
	Mean       string  `json:"mean"`
	Spread     string  `json:"spread"`
	Elasticity float64 `json:"elasticity"`
	Age        string  `json:"age"`
	// Feature is what distinguishes expensive calls of the route, or empty.
	Feature string `json:"feature,omitempty"`
	// Values is the number of values of the feature.
	Values int `json:"values,omitempty"`
}

var featureNames = [featureCount]string{"path", "size", "organisation", "callerService"}

// RouteCosts returns the costs of the routes.
func (t *Table) RouteCosts(now time.Time) map[string]RouteCost {
	costs := make(map[string]RouteCost, len(t.routes))
	for name, r := range t.routes {
		estimate := t.Estimate(now, Key{Route: name, Size: -1})
		cost := RouteCost{
			Mean:       estimate.Mean.String(),
			Spread:     estimate.Spread.String(),
			Elasticity: estimate.Elasticity,
			Age:        estimate.Age.String(),
		}
		if r.chosen < featureCount {
			cost.Feature = featureNames[r.chosen]
			cost.Values = len(r.features[r.chosen].values)
		}
		costs[name] = cost
	}
	return costs
}
