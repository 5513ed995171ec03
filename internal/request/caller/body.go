package caller

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Sizes of request bodies.
const (
	// PrefetchBytes is how much of a body is read before the call is routed. The size of
	// a smaller body is then known.
	PrefetchBytes = 64 << 10
	// maxReplayBytes is how much of a body is kept for further attempts.
	maxReplayBytes = 512 << 10
	// maxTotalReplayBytes bounds what all bodies together keep beyond their prefetched
	// part.
	maxTotalReplayBytes = 16 << 20
)

// totalReplayBytes counts what all bodies keep beyond their prefetched part.
var totalReplayBytes atomic.Int64

// errBodyReleased is the error of a reader whose next bytes are no longer kept.
var errBodyReleased = errors.Mark(errors.New("the beginning of the request body is no longer kept"), ErrRequestBody)

// errBodyClosed is the error of a reader whose call has ended.
var errBodyClosed = errors.Mark(errors.New("the call of the request body has ended"), ErrRequestBody)

// Body is a request body. Each attempt reads it from the beginning with a reader of its
// own, also while the reader of an earlier attempt is still in use. Every reader
// returns the bytes of the source in order, without gaps, or an error.
//
// Lock order: sourceMu before mu.
type Body struct {
	// sourceMu is held while source is read.
	sourceMu sync.Mutex
	source   io.Reader

	mu sync.Mutex
	// kept is the beginning of the body. It is nil after it was released.
	kept     []byte
	released bool
	// charged is the part of kept that counts in totalReplayBytes.
	charged int64
	// singlePass means that one reader reads the body, once.
	singlePass bool
	// length is the number of bytes read from source.
	length int64
	// err is io.EOF at the end of source, or the error of reading it.
	err    error
	closed bool
}

// NewBody returns a Body that reads from source. It reads up to 64 KiB before it returns.
func NewBody(source io.Reader) (*Body, error) {
	if source == nil || source == http.NoBody {
		return &Body{
			err: io.EOF,
		}, nil
	}
	kept, err := io.ReadAll(io.LimitReader(source, PrefetchBytes))
	if err != nil {
		return nil, err
	}
	body := &Body{
		source: source,
		kept:   kept,
		length: int64(len(kept)),
	}
	if len(kept) < PrefetchBytes {
		body.err = io.EOF
	}
	return body, nil
}

// NewSinglePassBody returns a Body for a call with one attempt. Nothing is kept of it but the
// prefetched part, until that was read.
func NewSinglePassBody(source io.Reader) (*Body, error) {
	body, err := NewBody(source)
	if err == nil {
		body.singlePass = true
	}
	return body, err
}

// Close ends the use of the source. Reads that begin or end later return an error.
func (b *Body) Close() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.releaseLocked()
}

// Discard closes the body and reads the rest of the source, at most limit bytes. It returns
// nil if it reached the end.
func (b *Body) Discard(limit int64) error {
	b.Close()
	b.sourceMu.Lock()
	defer b.sourceMu.Unlock()
	n, err := io.CopyN(io.Discard, b.source, limit)
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	return errors.Newf("request body has more than %d unread bytes", n)
}

// Complete reports whether the source was read to its end.
func (b *Body) Complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF)
}

// Replayable reports whether a new reader can read the whole body.
func (b *Body) Replayable() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.released
}

// Size returns the body's size in bytes, or -1 if it is not known or the body's beginning
// is no longer kept.
func (b *Body) Size() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released || !errors.Is(b.err, io.EOF) {
		return -1
	}
	return b.length
}

// Reader returns a reader of the whole body, from its beginning.
func (b *Body) Reader() io.Reader {
	if b == nil {
		return http.NoBody
	}
	return &bodyReader{
		body: b,
	}
}

// bodyReader is the reader of one attempt.
type bodyReader struct {
	body   *Body
	offset int64
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.body.readKept(p, r.offset)
	if n == 0 && err == nil && len(p) > 0 {
		n, err = r.body.readSource(p, r.offset)
	}
	r.offset += int64(n)
	return n, err
}

// readKept reads kept bytes from offset on. It returns 0 and no error if the next byte must
// be read from the source.
func (b *Body) readKept(p []byte, offset int64) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.closed:
		return 0, errBodyClosed
	case offset == b.length:
		return 0, b.err
	case b.released:
		return 0, errBodyReleased
	}
	return copy(p, b.kept[offset:]), nil
}

// readSource reads the next bytes from the source, unless another reader has read them
// meanwhile.
func (b *Body) readSource(p []byte, offset int64) (int, error) {
	b.sourceMu.Lock()
	defer b.sourceMu.Unlock()
	if n, err := b.readKept(p, offset); n > 0 || err != nil {
		return n, err
	}
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	if b.closed {
		return 0, errBodyClosed
	}
	b.keepLocked(p[:n])
	return n, err
}

// keepLocked appends bytes of the source to the kept beginning, or releases it when it
// exceeds a limit. The caller must hold b.mu.
func (b *Body) keepLocked(p []byte) {
	n := int64(len(p))
	b.length += n
	if b.released {
		return
	}
	if b.singlePass || b.length > maxReplayBytes {
		b.releaseLocked()
		return
	}
	if totalReplayBytes.Add(n) > maxTotalReplayBytes {
		totalReplayBytes.Add(-n)
		b.releaseLocked()
		return
	}
	b.charged += n
	b.kept = append(b.kept, p...)
}

// releaseLocked releases the kept beginning of a body. The caller must hold b.mu.
func (b *Body) releaseLocked() {
	totalReplayBytes.Add(-b.charged)
	b.charged = 0
	b.kept = nil
	b.released = true
}
