package checker

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// hostsDocument is the JSON form of a describer.HostTable.
type hostsDocument struct {
	Limits        limitsDocument         `json:"limits"`
	Organisations []organisationDocument `json:"organisations,omitempty"`
	Hosts         []hostDocument         `json:"hosts"`
}

type limitsDocument struct {
	MaxHeaderBytes int64  `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int64  `json:"maxBodyBytes,omitempty"`
	HeaderTimeout  string `json:"headerTimeout,omitempty"`
	IdleTimeout    string `json:"idleTimeout,omitempty"`
}

type hostDocument struct {
	Host   string              `json:"host"`
	Routes []hostRouteDocument `json:"routes"`
}

type hostRouteDocument struct {
	Name         string                `json:"name"`
	Path         string                `json:"path"`
	Idempotent   bool                  `json:"idempotent"`
	Timeout      string                `json:"timeout"`
	MaxAttempts  int                   `json:"attempts"`
	Objective    string                `json:"objective"`
	Rank         int                   `json:"rank"`
	Public       bool                  `json:"public,omitempty"`
	Destinations []destinationDocument `json:"destinations"`
}

type destinationDocument struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// EncodeHosts encodes table as the content of a /TEAM/hosts document.
func EncodeHosts(table describer.HostTable) ([]byte, error) {
	document := hostsDocument{
		Limits: limitsDocument{
			MaxHeaderBytes: table.Limits.HeaderBytes,
			MaxBodyBytes:   table.Limits.BodyBytes,
		},
		Organisations: encodeOrganisations(table.Organisations),
		Hosts:         []hostDocument{},
	}
	if table.Limits.HeaderTimeout > 0 {
		document.Limits.HeaderTimeout = table.Limits.HeaderTimeout.String()
	}
	if table.Limits.IdleTimeout > 0 {
		document.Limits.IdleTimeout = table.Limits.IdleTimeout.String()
	}
	for _, host := range slices.Sorted(maps.Keys(table.Hosts)) {
		document.Hosts = append(document.Hosts, encodeHost(host, table.Hosts[host]))
	}
	content, err := json.Marshal(document)
	return content, errors.Wrap(err, "encode hosts")
}

func encodeHost(host string, routes []describer.HostRoute) hostDocument {
	document := hostDocument{
		Host:   host,
		Routes: []hostRouteDocument{},
	}
	for _, route := range routes {
		encoded := hostRouteDocument{
			Name:        route.Name,
			Path:        route.Path,
			Idempotent:  route.Idempotent,
			Timeout:     route.Timeout.String(),
			MaxAttempts: route.MaxTargets,
			Objective:   route.Objective.String(),
			Rank:        route.Rank,
			Public:      route.Public,
		}
		encoded.Destinations = encodeDestinations(route.Destinations)
		document.Routes = append(document.Routes, encoded)
	}
	return document
}

// encodeDestinations writes whole weights where these have the same proportions, because nodes that
// take only whole weights may get the document too.
func encodeDestinations(destinations []describer.Destination) []destinationDocument {
	whole, isWhole := describer.WholeWeights(destinations)
	documents := make([]destinationDocument, len(destinations))
	for i, destination := range destinations {
		documents[i] = destinationDocument{
			Service: destination.Service.String(),
			Weight:  destination.Weight,
		}
		if isWhole {
			documents[i].Weight = float64(whole[i])
		}
	}
	return documents
}
