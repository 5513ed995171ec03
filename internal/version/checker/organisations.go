package checker

import (
	"maps"
	"slices"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/parser"
)

// organisationDocument is the JSON form of a describer.Organisation.
type organisationDocument struct {
	Name       string   `json:"name"`
	KeyDigests []string `json:"keyDigests"`
	Rank       *int     `json:"rank,omitempty"`
	Rate       float64  `json:"rate,omitempty"`
	Burst      float64  `json:"burst,omitempty"`
}

func encodeOrganisations(organisations []describer.Organisation) []organisationDocument {
	documents := make([]organisationDocument, len(organisations))
	for i, organisation := range organisations {
		documents[i] = organisationDocument{
			Name:       organisation.Name,
			KeyDigests: make([]string, len(organisation.Keys)),
			Rate:       organisation.Rate,
			Burst:      organisation.Burst,
		}
		if organisation.HasRank {
			documents[i].Rank = &organisation.Rank
		}
		for j, digest := range organisation.Keys {
			documents[i].KeyDigests[j] = digest.String()
		}
	}
	return documents
}

// readOrganisations decodes the organisations of a /TEAM/hosts document.
func readOrganisations(hosts parser.Object) []describer.Organisation {
	var organisations []describer.Organisation
	names := make(map[string]bool)
	owners := make(map[describer.KeyDigest]string)
	for _, element := range hosts.Elements("organisations") {
		organisation := readOrganisation(element, owners)
		if names[organisation.Name] {
			element.Reportf("organisation %q appears twice; join the entries or rename one", organisation.Name)
		}
		names[organisation.Name] = true
		organisations = append(organisations, organisation)
	}
	return organisations
}

// checkDestinations reports a finding for each destination of another team, if the team has
// organisations. They belong to the team of the service that a request goes to.
func checkDestinations(hosts parser.Object, table *describer.HostTable) {
	if len(table.Organisations) == 0 {
		return
	}
	for _, host := range slices.Sorted(maps.Keys(table.Hosts)) {
		for _, route := range table.Hosts[host] {
			for _, destination := range route.Destinations {
				if destination.Service.Team != table.Team {
					hosts.Field("organisations").Reportf("route %q has the destination %s of another team, which does not know the organisations", route.Name, destination.Service)
				}
			}
		}
	}
}

// readOrganisation decodes one organisation. owners holds the organisation of each key read
// so far.
func readOrganisation(element *parser.Node, owners map[describer.KeyDigest]string) describer.Organisation {
	object := element.Object("name", "keyDigests", "rank", "rate", "burst")
	object.Require("name", "keyDigests")
	organisation := describer.Organisation{
		Name:    object.String("name", ""),
		Rank:    int(object.Int("rank", 0, describer.MaxRank, 0)),
		HasRank: object.Field("rank") != nil,
		Rate:    object.Float("rate", 0, describer.MaxRate, 0),
		Burst:   object.Float("burst", 0, describer.MaxRate, 0),
	}
	if field := object.Field("name"); field != nil && !describer.ValidOrganisationName(organisation.Name) {
		field.Reportf("name is %q; want 1 to 128 printable ASCII characters without a space at either end", organisation.Name)
	}
	if field := object.Field("burst"); field != nil && organisation.Burst > 0 && organisation.Rate == 0 {
		field.Reportf("burst of organisation %q has no rate; set a rate or remove the burst", organisation.Name)
	}
	for _, node := range object.Elements("keyDigests") {
		digest, err := describer.ParseKeyDigest(node.String())
		if err != nil {
			node.Reportf("key of organisation %q: %s", organisation.Name, err)
			continue
		}
		if owner, exists := owners[digest]; exists {
			node.Reportf("organisations %q and %q have the same key; remove it from one", owner, organisation.Name)
			continue
		}
		owners[digest] = organisation.Name
		organisation.Keys = append(organisation.Keys, digest)
	}
	return organisation
}
