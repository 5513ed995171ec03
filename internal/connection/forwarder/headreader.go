package forwarder

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Limits for what a backend server sends that is not an answer to the call.
const (
	// maxHeadBytes limits the status line and headers of one answer.
	maxHeadBytes = 64 << 10
	// maxHeadLines limits the lines of one head. A parsed line takes some hundred bytes more
	// than it has.
	maxHeadLines = 256
	// maxSkippedAnswers limits the interim answers and the answers to other requests
	// that are read before the answer to the call.
	maxSkippedAnswers = 16
	// maxSkippedBodyBytes limits the body of an answer that is read and not forwarded.
	maxSkippedBodyBytes = 1 << 20
)

var newline = []byte("\n")

var (
	errHeadTooLarge   = errors.Newf("the head of the answer exceeds the limit of %d bytes", maxHeadBytes)
	errTooManyLines   = errors.Newf("the head of the answer exceeds the limit of %d lines", maxHeadLines)
	errTooManySkipped = errors.Newf("more than %d answers before the one to the call", maxSkippedAnswers)
)

// headReader limits how much of a connection is read while the head of an answer is parsed,
// because the parser keeps a head of any size.
type headReader struct {
	source io.Reader
	// inHead reports whether the limits apply. remaining is the number of bytes that may
	// still be read, and lines the number of lines that were read.
	inHead    bool
	remaining int
	lines     int
	checker   headChecker
}

// startHead limits the next reads to the head of one answer, of which the reader's owner has
// buffered a part.
func (h *headReader) startHead(buffered []byte) {
	h.inHead = true
	h.remaining = maxHeadBytes
	h.lines = 0
	h.checker.reset()
	h.checker.write(buffered)
}

// endHead removes the limits. It returns an error if the head is none of an answer in HTTP/1.
func (h *headReader) endHead(resp *http.Response) error {
	h.inHead = false
	return h.checker.check(resp)
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.inHead {
		return h.source.Read(p)
	}
	if h.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	if h.lines > maxHeadLines {
		return 0, errTooManyLines
	}
	n, err := h.source.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	// A read may go beyond the head. That does no harm, because the head is then complete
	// and no limit applies to the next read.
	h.lines += bytes.Count(p[:n], newline)
	h.checker.write(p[:n])
	return n, err
}

// skipBody reads the rest of a body that is not forwarded, and reports whether it reached
// the end.
func skipBody(body io.Reader) bool {
	_, err := io.CopyN(io.Discard, body, maxSkippedBodyBytes)
	return errors.Is(err, io.EOF)
}
