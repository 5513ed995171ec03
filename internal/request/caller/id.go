package caller

import (
	"crypto/rand"
	"encoding/base64"
)

// rawIDBytes is the length of an ID before encoding. IDs only have to be unique
// among the open calls of one node. With a million open calls per node, one node
// in 10,000,000,000 has a collision.
const rawIDBytes = 9

// NewID returns a random ID for a call. The ID is short because every attempt of
// the call carries it.
func NewID() string {
	var raw [rawIDBytes]byte
	rand.Read(raw[:])
	return base64.RawURLEncoding.EncodeToString(raw[:])
}
