package caller

import (
	"crypto/rand"
	"encoding/base64"
)

// idBytes is the length of an ID before encoding. IDs only have to differ among
// the open calls of one node: a million of them clash once in 10,000,000,000 nodes.
const idBytes = 9

// NewID returns a random ID for a call. It travels with each of the call's
// attempts, so it is short.
func NewID() string {
	var raw [idBytes]byte
	rand.Read(raw[:])
	return base64.RawURLEncoding.EncodeToString(raw[:])
}
