package encoder

import (
	"bytes"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
)

func encodeBody(t testing.TB, body []byte) []byte {
	t.Helper()
	var wire bytes.Buffer
	trailer, err := CopyBody(&wire, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	trailer.Unspent = 2
	if err := WriteTrailer(&wire, trailer); err != nil {
		t.Fatal(err)
	}
	return wire.Bytes()
}

func TestBodyRoundTrip(t *testing.T) {
	for _, size := range []int{0, 1, chunkBytes - 1, chunkBytes, 3*chunkBytes + 5} {
		want := bytes.Repeat([]byte{'x'}, size)
		reader := NewBodyReader(bytes.NewReader(encodeBody(t, want)))
		got, err := io.ReadAll(reader)
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("size %d: got %d bytes and error %v, want the same body without error", size, len(got), err)
		}
		if got := reader.Trailer().GetUnspent(); got != 2 {
			t.Errorf("size %d: got unspent allowance %d, want 2", size, got)
		}
	}
}

func TestBodyReaderDetectsDamage(t *testing.T) {
	body := []byte("a water booking")
	wire := encodeBody(t, body)
	for size := range wire {
		if _, err := io.ReadAll(NewBodyReader(bytes.NewReader(wire[:size]))); !errors.Is(err, ErrBodyBroken) {
			t.Errorf("truncated to %d bytes: got error %v, want ErrBodyBroken", size, err)
		}
	}
	for i := range wire {
		for bit := range 8 {
			damaged := bytes.Clone(wire)
			damaged[i] ^= 1 << bit
			reader := NewBodyReader(bytes.NewReader(damaged))
			got, err := io.ReadAll(reader)
			// The unspent allowance is not part of the body, so damage to it may go
			// undetected.
			if err == nil && !bytes.Equal(got, body) {
				t.Errorf("bit %d of byte %d: got the damaged body %q without an error", bit, i, got)
			}
		}
	}
}

func TestReadFrameReportsErrors(t *testing.T) {
	if err := ReadFrame(bytes.NewReader([]byte{0xff, 0, 0, 0}), &Trailer{}); !errors.Is(err, ErrFrameTooLarge) {
		t.Errorf("oversized frame: got %v, want ErrFrameTooLarge", err)
	}
	if err := ReadFrame(bytes.NewReader(nil), &Trailer{}); !errors.Is(err, io.EOF) {
		t.Errorf("empty stream: got %v, want io.EOF", err)
	}
	if err := ReadFrame(bytes.NewReader([]byte{0, 0, 0, 9, 1}), &Trailer{}); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated frame: got %v, want io.ErrUnexpectedEOF", err)
	}
}

func FuzzStreamHead(f *testing.F) {
	var wire bytes.Buffer
	WriteFrame(&wire, &StreamHead{Kind: &StreamHead_Call{Call: &CallHead{RequestId: "r", TimeoutNanos: 1}}})
	f.Add(wire.Bytes())
	f.Add([]byte{0, 0, 0, 1, 10})
	f.Add([]byte{0x7f, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		ReadFrame(bytes.NewReader(data), &StreamHead{})
	})
}

func FuzzBody(f *testing.F) {
	f.Add(encodeBody(f, []byte("whole")))
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := NewBodyReader(bytes.NewReader(data))
		body, err := io.ReadAll(reader)
		if err == nil && reader.Trailer().GetLength() != uint64(len(body)) {
			t.Errorf("got a body of %d bytes without an error, want the trailer's length %d", len(body), reader.Trailer().GetLength())
		}
	})
}
