package announcer

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"

	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// TestOlderAnnouncementIsReportedLast guards against a router that keeps an outdated announcement
// because two goroutines report the changes of a member in the wrong order.
func TestOlderAnnouncementIsReportedLast(t *testing.T) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var mu sync.Mutex
	var got []uint64
	entered, release := make(chan struct{}), make(chan struct{})
	a := New(Config{
		Self: &encoder.Member{Id: "n-0", Incarnation: 1, PeerAddress: conn.LocalAddr().String()},
		Conn: conn,
		OnChange: func(member *encoder.Member) {
			sequence := member.GetBackend().GetSequence()
			if sequence == 1 {
				close(entered)
				<-release
			}
			mu.Lock()
			defer mu.Unlock()
			got = append(got, sequence)
		},
		OnVersion: func(int64, *encoder.Member) {},
		Rand:      rand.New(rand.NewPCG(1, 2)),
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.SetBackend(&encoder.Backend{Id: "a", Sequence: 1}, 1)
	}()
	<-entered
	a.SetBackend(&encoder.Backend{Id: "a", Sequence: 2}, 1)
	close(release)
	<-done
	if want := []uint64{0, 1, 2}; !slices.Equal(got, want) {
		t.Errorf("got announcements in the order %v, want %v", got, want)
	}
}
