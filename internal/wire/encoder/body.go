package encoder

import (
	"encoding/binary"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// chunkBytes is the size of the largest chunk that CopyBody writes.
const chunkBytes = 16 << 10

// maxChunkBytes is the size of the largest chunk that BodyReader accepts.
const maxChunkBytes = 1 << 20

// ErrBodyBroken marks the failure of a body that ended early or does not match its
// trailer.
var ErrBodyBroken = errors.New("body ended early or does not match its length and checksum")

// chunkBuffers is a pool of buffers, each for one chunk with its length prefix.
var chunkBuffers = sync.Pool{
	New: func() any {
		return new([lengthBytes + chunkBytes]byte)
	},
}

// CopyBody copies src to dst as chunks and returns a trailer with the body's size
// and checksum. The caller must then end the body with WriteTrailer. After an error,
// it must set Broken in the trailer first. An error marked ErrBodyBroken comes from
// src.
func CopyBody(dst io.Writer, src io.Reader) (*Trailer, error) {
	digest := xxhash.New()
	trailer := &Trailer{}
	buffer := chunkBuffers.Get().(*[lengthBytes + chunkBytes]byte)
	defer chunkBuffers.Put(buffer)
	chunk := buffer[:]
	for {
		n, err := src.Read(chunk[lengthBytes:])
		if n > 0 {
			binary.BigEndian.PutUint32(chunk, uint32(n))
			if _, werr := dst.Write(chunk[:lengthBytes+n]); werr != nil {
				return trailer, werr
			}
			digest.Write(chunk[lengthBytes : lengthBytes+n])
			trailer.Length += uint64(n)
		}
		if errors.Is(err, io.EOF) {
			trailer.Checksum = digest.Sum64()
			return trailer, nil
		}
		if err != nil {
			return trailer, errors.Mark(err, ErrBodyBroken)
		}
	}
}

// WriteTrailer ends a body with a zero length and the trailer.
func WriteTrailer(w io.Writer, trailer *Trailer) error {
	var zeroLength [lengthBytes]byte
	if _, err := w.Write(zeroLength[:]); err != nil {
		return err
	}
	return WriteFrame(w, trailer)
}

// BodyReader reads the chunks of one body and verifies its trailer.
//
// Read returns io.EOF only if the trailer matches the body. Any other error is
// marked ErrBodyBroken.
type BodyReader struct {
	src            io.Reader
	digest         *xxhash.Digest
	chunkRemaining uint32
	length         uint64
	trailer        *Trailer
	err            error
}

// NewBodyReader returns a reader of the body that starts at the next byte of src.
func NewBodyReader(src io.Reader) *BodyReader {
	return &BodyReader{
		src:    src,
		digest: xxhash.New(),
	}
}

// Trailer returns the verified trailer, or nil if Read has not returned io.EOF yet.
func (b *BodyReader) Trailer() *Trailer {
	return b.trailer
}

// Read implements io.Reader.
func (b *BodyReader) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	if b.chunkRemaining == 0 {
		if err := b.readChunkLength(); err != nil {
			b.err = err
			return 0, err
		}
	}
	if uint32(len(p)) > b.chunkRemaining {
		p = p[:b.chunkRemaining]
	}
	n, err := b.src.Read(p)
	b.chunkRemaining -= uint32(n)
	b.length += uint64(n)
	b.digest.Write(p[:n])
	if err != nil {
		b.err = markBroken(err)
		return n, b.err
	}
	return n, nil
}

// readChunkLength reads the length of the next chunk. After the last chunk, it
// verifies the trailer and returns io.EOF.
func (b *BodyReader) readChunkLength() error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(b.src, length[:]); err != nil {
		return markBroken(err)
	}
	b.chunkRemaining = binary.BigEndian.Uint32(length[:])
	if b.chunkRemaining > maxChunkBytes {
		return errors.Mark(errors.Newf("body chunk of %d bytes exceeds the limit of %d", b.chunkRemaining, maxChunkBytes), ErrBodyBroken)
	}
	if b.chunkRemaining > 0 {
		return nil
	}
	return b.verifyTrailer()
}

func (b *BodyReader) verifyTrailer() error {
	trailer := &Trailer{}
	if err := ReadFrame(b.src, trailer); err != nil {
		return markBroken(err)
	}
	if trailer.GetBroken() || trailer.GetLength() != b.length || trailer.GetChecksum() != b.digest.Sum64() {
		return ErrBodyBroken
	}
	b.trailer = trailer
	return io.EOF
}

func markBroken(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return errors.Mark(err, ErrBodyBroken)
}

// EmptyChecksum returns the checksum of an empty body.
func EmptyChecksum() uint64 {
	return xxhash.Sum64(nil)
}
