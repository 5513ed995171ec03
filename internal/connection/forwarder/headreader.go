package forwarder

import (
	"io"
	"math"

	"github.com/cockroachdb/errors"
)

// Limits for what a backend server sends that is not an answer to the call.
const (
	// maxHeadBytes limits the status line and headers of one answer.
	maxHeadBytes = 64 << 10
	// maxSkippedAnswers limits the interim answers and the answers to other requests
	// that are read before the answer to the call.
	maxSkippedAnswers = 16
	// maxSkippedBodyBytes limits the body of an answer that is read and not forwarded.
	maxSkippedBodyBytes = 1 << 20
)

var (
	errHeadTooLarge   = errors.Newf("the head of the answer exceeds the limit of %d bytes", maxHeadBytes)
	errTooManySkipped = errors.Newf("more than %d answers before the one to the call", maxSkippedAnswers)
)

// headReader limits how much of a connection is read while the head of an answer is parsed,
// because the parser buffers a head of any size.
type headReader struct {
	source    io.Reader
	remaining int64
}

// startHead limits the next reads to the head of one answer.
func (h *headReader) startHead() {
	h.remaining = maxHeadBytes
}

// endHead removes the limit.
func (h *headReader) endHead() {
	h.remaining = math.MaxInt64
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.source.Read(p[:min(int64(len(p)), h.remaining)])
	h.remaining -= int64(n)
	return n, err
}

// skipBody reads the rest of a body that is not forwarded, and reports whether it reached
// the end.
func skipBody(body io.Reader) bool {
	_, err := io.CopyN(io.Discard, body, maxSkippedBodyBytes)
	return errors.Is(err, io.EOF)
}
