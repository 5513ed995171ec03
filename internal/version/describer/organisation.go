package describer

import (
	"encoding/base64"
	"regexp"

	"github.com/cockroachdb/errors"
)

// KeyDigestBytes is the length of a KeyDigest.
const KeyDigestBytes = 16

// KeyDigest stands for a key of an organisation. Settings, members and logs hold digests and
// never the keys themselves.
type KeyDigest [KeyDigestBytes]byte

// String returns the digest in base64url without padding, as settings documents have it.
func (d KeyDigest) String() string {
	return base64.RawURLEncoding.EncodeToString(d[:])
}

// keyPrefixBytes is the length of what KeyDigest.Prefix encodes.
const keyPrefixBytes = 6

// Prefix returns the first characters of the digest. They are enough to find a digest in the
// settings, and too few to test guesses of a secret that a caller sent by mistake.
func (d KeyDigest) Prefix() string {
	return base64.RawURLEncoding.EncodeToString(d[:keyPrefixBytes])
}

// ParseKeyDigest parses a digest that KeyDigest.String encoded.
func ParseKeyDigest(text string) (KeyDigest, error) {
	var digest KeyDigest
	content, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(content) != KeyDigestBytes {
		return digest, errors.Newf("digest is not %d bytes in base64url without padding", KeyDigestBytes)
	}
	copy(digest[:], content)
	if digest == (KeyDigest{}) {
		return digest, errors.New("digest is empty")
	}
	return digest, nil
}

// Organisation is a customer of the services of one team. Its requests carry one of its keys
// and share its quota.
type Organisation struct {
	Name string
	Keys []KeyDigest
	// Rank is the importance of the organisation's requests; 0 is the most important. It
	// goes before the rank of the route. It applies only if HasRank is set.
	Rank    int
	HasRank bool
	// Rate is the number of requests per second that all nodes together accept, and Burst
	// the number that they accept beyond that at once. A Rate of 0 means that there is no
	// quota.
	Rate  float64
	Burst float64
}

// MaxRate is the highest value of Organisation.Rate and Organisation.Burst.
const MaxRate = 1e9

// Criticality returns the criticality for the organisation's rank.
func (o Organisation) Criticality() Criticality {
	return rankCriticality(o.Rank)
}

// organisationName matches names that fit in a header and in a field of a log line.
var organisationName = regexp.MustCompile(`^[!-~]([ -~]{0,126}[!-~])?$`)

// ValidOrganisationName reports whether name may be the name of an organisation: 1 to 128
// printable ASCII characters without a space at either end.
func ValidOrganisationName(name string) bool {
	return organisationName.MatchString(name)
}
