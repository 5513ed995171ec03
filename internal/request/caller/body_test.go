package caller

import (
	"bytes"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

// randomBytes returns size bytes, the same for the same size.
func randomBytes(size int) []byte {
	content := make([]byte, size)
	rand.NewChaCha8([32]byte{byte(size)}).Read(content)
	return content
}

func newBody(t *testing.T, content []byte) *Body {
	t.Helper()
	body, err := NewBody(bytes.NewReader(content))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(body.Close)
	return body
}

func TestEveryReaderReturnsTheWholeBody(t *testing.T) {
	for _, size := range []int{0, 1, PrefetchBytes - 1, PrefetchBytes, PrefetchBytes + 1, maxReplayBytes} {
		want := randomBytes(size)
		body := newBody(t, want)
		for range 2 {
			got, err := io.ReadAll(body.Reader())
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("size %d: got %d bytes, error %v", size, len(got), err)
			}
		}
		if got := body.Size(); got != int64(size) || !body.Replayable() {
			t.Errorf("size %d: got size %d, replayable %t", size, got, body.Replayable())
		}
	}
}

// TestReadersDoNotTakeBytesFromEachOther reads one body with several readers at the same
// time. Each must return the body's bytes without gaps, up to its end or to an error.
func TestReadersDoNotTakeBytesFromEachOther(t *testing.T) {
	for _, size := range []int{3 * PrefetchBytes, maxReplayBytes + 3*PrefetchBytes} {
		want := randomBytes(size)
		body := newBody(t, want)
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				got, err := io.ReadAll(iotest.HalfReader(body.Reader()))
				if err == nil && !bytes.Equal(got, want) {
					t.Errorf("size %d: got %d other bytes as the complete body", size, len(got))
				}
				if !bytes.HasPrefix(want, got) {
					t.Errorf("size %d: got %d bytes that are not its beginning", size, len(got))
				}
			})
		}
		group.Wait()
	}
}

func TestBodyBeyondTheLimitIsReadOnce(t *testing.T) {
	want := randomBytes(maxReplayBytes + PrefetchBytes)
	body := newBody(t, want)
	got, err := io.ReadAll(body.Reader())
	if err != nil || !bytes.Equal(got, want) {
		t.Fatalf("got %d bytes, error %v, want the body", len(got), err)
	}
	if body.Replayable() {
		t.Error("got replayable, want not")
	}
	if n, err := body.Reader().Read(make([]byte, 1)); n != 0 || !errors.Is(err, ErrRequestBody) {
		t.Errorf("second reader: got %d bytes, error %v, want ErrRequestBody", n, err)
	}
}

func TestClosedBodyReturnsErrors(t *testing.T) {
	body := newBody(t, randomBytes(2*PrefetchBytes))
	reader := body.Reader()
	io.ReadFull(reader, make([]byte, PrefetchBytes/2))
	body.Close()
	if n, err := reader.Read(make([]byte, 1)); n != 0 || !errors.Is(err, ErrRequestBody) {
		t.Errorf("got %d bytes, error %v, want ErrRequestBody", n, err)
	}
	if err := body.Discard(PrefetchBytes - 1); err == nil {
		t.Error("discard of a part: got no error")
	}
	if err := body.Discard(PrefetchBytes); err != nil {
		t.Errorf("discard of the rest: %v", err)
	}
}

func TestKeptBytesOfAllBodiesAreBounded(t *testing.T) {
	before := totalReplayBytes.Load()
	var bodies []*Body
	for range maxTotalReplayBytes/maxReplayBytes + 8 {
		body := newBody(t, randomBytes(maxReplayBytes))
		io.Copy(io.Discard, body.Reader())
		bodies = append(bodies, body)
	}
	if got := totalReplayBytes.Load(); got > maxTotalReplayBytes {
		t.Errorf("got %d bytes kept, want at most %d", got, maxTotalReplayBytes)
	}
	for _, body := range bodies {
		body.Close()
	}
	if got := totalReplayBytes.Load(); got != before {
		t.Errorf("after closing: got %d bytes kept, want %d", got, before)
	}
}
