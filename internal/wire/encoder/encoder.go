// Package encoder holds the protobuf messages exchanged between nodes and the
// framing that separates them on a stream.
//
// A frame is a big-endian uint32 length followed by that many bytes of one
// message. A body is a sequence of chunks, each a non-zero uint32 length and
// its bytes, closed by a zero length and a Trailer frame with the body's size
// and checksum.
//
// # Usage
//
//	err := encoder.WriteFrame(stream, head)
//	err = encoder.ReadFrame(stream, head)
//	sum, err := encoder.CopyBody(stream, body)
//	body := encoder.NewBodyReader(stream)
package encoder

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto

// MaxFrameBytes bounds one frame.
const MaxFrameBytes = 8 << 20

// ErrFrameTooLarge reports a frame whose announced length exceeds MaxFrameBytes.
var ErrFrameTooLarge = errors.New("frame length exceeds the limit; the peer sent something that is not a frame")

const lengthBytes = 4

// WriteFrame writes message as one frame in a single Write.
func WriteFrame(w io.Writer, message proto.Message) error {
	size := proto.Size(message)
	if size > MaxFrameBytes {
		return ErrFrameTooLarge
	}
	frame := make([]byte, lengthBytes, lengthBytes+size)
	binary.BigEndian.PutUint32(frame, uint32(size))
	frame, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(frame, message)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	_, err = w.Write(frame)
	return err
}

// ReadFrame reads one frame into message.
//
// It returns io.EOF when the stream ends before the frame starts and
// io.ErrUnexpectedEOF when the stream ends inside it.
func ReadFrame(r io.Reader, message proto.Message) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > MaxFrameBytes {
		return ErrFrameTooLarge
	}
	frame, err := readExactly(r, int64(size))
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(frame, message); err != nil {
		return errors.Wrap(err, "decode frame")
	}
	return nil
}

// preallocatedBytes bounds the memory that an announced length alone can claim.
const preallocatedBytes = 64 << 10

// readExactly reads size bytes and grows its buffer only as bytes arrive.
func readExactly(r io.Reader, size int64) ([]byte, error) {
	if size <= preallocatedBytes {
		frame := make([]byte, size)
		if _, err := io.ReadFull(r, frame); err != nil {
			return nil, unexpected(err)
		}
		return frame, nil
	}
	frame, err := io.ReadAll(io.LimitReader(r, size))
	if err != nil {
		return nil, err
	}
	if int64(len(frame)) < size {
		return nil, io.ErrUnexpectedEOF
	}
	return frame, nil
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readerBytes is enough for the frames around a small body.
const readerBytes = 4 << 10

// NewStreamReader returns a buffered reader sized for frames and chunks.
func NewStreamReader(r io.Reader) *bufio.Reader {
	return bufio.NewReaderSize(r, readerBytes)
}
