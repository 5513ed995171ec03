package encoder

import (
	"encoding/binary"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// chunkBytes is the largest body chunk written.
const chunkBytes = 16 << 10

// maxChunkBytes is the largest body chunk accepted.
const maxChunkBytes = 1 << 20

// ErrBodyBroken reports a body that ended early or does not match its trailer.
var ErrBodyBroken = errors.New("body broke off or does not match its length and checksum")

// chunks holds buffers for one chunk with its length.
var chunks = sync.Pool{
	New: func() any {
		return new([lengthBytes + chunkBytes]byte)
	},
}

// CopyBody writes src to dst as chunks and returns the body's size and
// checksum. The caller closes the body with WriteTrailer.
func CopyBody(dst io.Writer, src io.Reader) (*Trailer, error) {
	sum := xxhash.New()
	trailer := &Trailer{}
	buffer := chunks.Get().(*[lengthBytes + chunkBytes]byte)
	defer chunks.Put(buffer)
	chunk := buffer[:]
	for {
		n, err := src.Read(chunk[lengthBytes:])
		if n > 0 {
			binary.BigEndian.PutUint32(chunk, uint32(n))
			if _, werr := dst.Write(chunk[:lengthBytes+n]); werr != nil {
				return trailer, werr
			}
			sum.Write(chunk[lengthBytes : lengthBytes+n])
			trailer.Length += uint64(n)
		}
		if errors.Is(err, io.EOF) {
			trailer.Checksum = sum.Sum64()
			return trailer, nil
		}
		if err != nil {
			return trailer, errors.Mark(err, ErrBodyBroken)
		}
	}
}

// WriteTrailer closes a body.
func WriteTrailer(w io.Writer, trailer *Trailer) error {
	var end [lengthBytes]byte
	if _, err := w.Write(end[:]); err != nil {
		return err
	}
	return WriteFrame(w, trailer)
}

// BodyReader reads the chunks of one body and verifies its trailer.
//
// Read returns io.EOF only after the trailer matched; any other end is an
// error marked ErrBodyBroken.
type BodyReader struct {
	src     io.Reader
	sum     *xxhash.Digest
	left    uint32
	length  uint64
	trailer *Trailer
	err     error
}

// NewBodyReader returns a reader of the body that starts at src.
func NewBodyReader(src io.Reader) *BodyReader {
	return &BodyReader{
		src: src,
		sum: xxhash.New(),
	}
}

// Trailer returns the verified trailer, or nil before Read returned io.EOF.
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
	if b.left == 0 {
		if err := b.nextChunk(); err != nil {
			b.err = err
			return 0, err
		}
	}
	if uint32(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.src.Read(p)
	b.left -= uint32(n)
	b.length += uint64(n)
	b.sum.Write(p[:n])
	if err != nil {
		b.err = broken(err)
		return n, b.err
	}
	return n, nil
}

func (b *BodyReader) nextChunk() error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(b.src, length[:]); err != nil {
		return broken(err)
	}
	b.left = binary.BigEndian.Uint32(length[:])
	if b.left > maxChunkBytes {
		return errors.Mark(errors.Newf("body chunk of %d bytes exceeds the limit of %d", b.left, maxChunkBytes), ErrBodyBroken)
	}
	if b.left > 0 {
		return nil
	}
	return b.verify()
}

func (b *BodyReader) verify() error {
	trailer := &Trailer{}
	if err := ReadFrame(b.src, trailer); err != nil {
		return broken(err)
	}
	if trailer.GetBroken() || trailer.GetLength() != b.length || trailer.GetChecksum() != b.sum.Sum64() {
		return ErrBodyBroken
	}
	b.trailer = trailer
	return io.EOF
}

func broken(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return errors.Mark(err, ErrBodyBroken)
}

// EmptyChecksum returns the checksum of a body without bytes.
func EmptyChecksum() uint64 {
	return xxhash.Sum64(nil)
}
