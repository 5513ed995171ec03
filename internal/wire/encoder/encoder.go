// Package encoder defines the protobuf messages that nodes exchange and the framing
// of messages and bodies on a stream.
//
// A frame is a big-endian uint32 length followed by that many bytes of one
// message. A body is a sequence of chunks, each a non-zero uint32 length and
// its bytes. It ends with a zero length and a Trailer frame with the body's size
// and checksum. After the body of a request, the byte AnswerReceived may follow.
//
// # Usage
//
//	err := encoder.WriteFrame(stream, head)
//	err = encoder.ReadFrame(stream, head)
//	trailer, err := encoder.CopyBody(stream, body)
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

// MaxFrameBytes is the maximum size of one frame, without its length prefix.
const MaxFrameBytes = 8 << 20

// ErrFrameTooLarge reports a frame that is larger than MaxFrameBytes.
var ErrFrameTooLarge = errors.New("frame exceeds the limit of 8 MiB; if it was received, the peer may have sent data that is not a frame")

// AnswerReceived is the byte that a caller's node may send after the request body, once it has read
// the answer to its end and no other node holds the token of the call.
const AnswerReceived = 1

const lengthBytes = 4

// WriteFrame writes message as one frame, with a single call of Write.
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
// It returns io.EOF if the stream ends before the frame starts and
// io.ErrUnexpectedEOF if the stream ends inside the frame.
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

// preallocatedBytes is the largest buffer that is allocated because of a length
// prefix alone, before any byte of the frame has arrived.
const preallocatedBytes = 64 << 10

// readExactly reads size bytes. Beyond preallocatedBytes, its buffer grows only as
// bytes arrive.
func readExactly(r io.Reader, size int64) ([]byte, error) {
	if size <= preallocatedBytes {
		frame := make([]byte, size)
		if _, err := io.ReadFull(r, frame); err != nil {
			return nil, toUnexpectedEOF(err)
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

func toUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// streamReaderBytes is the buffer size of a stream reader. It is enough for the
// frames around a small body; larger reads bypass the buffer.
const streamReaderBytes = 1 << 10

// NewStreamReader returns a buffered reader for frames and chunks.
func NewStreamReader(r io.Reader) *bufio.Reader {
	return bufio.NewReaderSize(r, streamReaderBytes)
}
