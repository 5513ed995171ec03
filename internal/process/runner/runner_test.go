package runner

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/process/configurer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// freeAddress returns a free loopback address.
func freeAddress(b *testing.B) netip.AddrPort {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// startNode runs a node of service in this process and returns its settings.
func startNode(b *testing.B, service string, backend netip.AddrPort, contacts ...netip.AddrPort) configurer.Config {
	b.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetFormatter(&logrus.TextFormatter{
		DisableColors: true,
	})
	config := configurer.Config{
		ID:             service,
		Region:         "r",
		Zone:           "z",
		Service:        describer.ServiceName{Team: "team", Name: service},
		CallAddress:    freeAddress(b),
		AdminAddress:   freeAddress(b),
		PeerAddress:    freeAddress(b),
		BackendAddress: backend,
		Slots:          100,
		Connections:    100,
		Contacts:       contacts,
		StopTimeout:    time.Second,
		DecisionsKept:  65_536,
	}
	node, err := New(config, log)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- node.Run(ctx)
	}()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	return config
}

// BenchmarkCallLatencyAtNodeRate sends calls at 360 a second, the rate that one node
// receives, directly to a backend server and through two nodes in turn. It reports
// the latency percentiles of both ways.
func BenchmarkCallLatencyAtNodeRate(b *testing.B) {
	const perSecond = 360
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write(make([]byte, 512))
	}))
	defer backend.Close()
	address := netip.MustParseAddrPort(backend.Listener.Addr().String())
	target := startNode(b, "target", address)
	entry := startNode(b, "entry", address, target.PeerAddress)
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 100,
		},
	}
	call := func(url string) (time.Duration, bool) {
		req, _ := http.NewRequest("GET", url, nil)
		req.Header.Set("Shelf-Service", "team/target")
		started := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			return 0, false
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return time.Since(started), err == nil && resp.StatusCode == 200
	}
	through := fmt.Sprintf("http://%s/", entry.CallAddress)
	for ok := false; !ok; time.Sleep(10 * time.Millisecond) {
		_, ok = call(through)
	}
	histograms := [2]*hdrhistogram.Histogram{hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3)}
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for i := 0; b.Loop(); i++ {
		<-ticker.C
		for n, url := range [2]string{backend.URL, through} {
			took, ok := call(url)
			if !ok {
				b.Error("call failed")
			}
			histograms[n].RecordValue(took.Microseconds())
		}
	}
	for _, percentile := range []float64{50, 99, 99.9} {
		direct, proxied := histograms[0].ValueAtPercentile(percentile), histograms[1].ValueAtPercentile(percentile)
		b.ReportMetric(float64(direct), fmt.Sprintf("us-direct-p%v", percentile))
		b.ReportMetric(float64(proxied), fmt.Sprintf("us-through-p%v", percentile))
	}
}

// BenchmarkCallThroughTwoNodes reports the processor time and allocations of one
// call, including those of the client and the backend server.
func BenchmarkCallThroughTwoNodes(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write(make([]byte, 512))
	}))
	defer backend.Close()
	address := netip.MustParseAddrPort(backend.Listener.Addr().String())
	target := startNode(b, "target", address)
	entry := startNode(b, "entry", address, target.PeerAddress)
	for _, path := range []struct{ name, url string }{
		{name: "direct", url: backend.URL},
		{name: "through", url: fmt.Sprintf("http://%s/", entry.CallAddress)},
	} {
		b.Run(path.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				req, _ := http.NewRequest("GET", path.url, nil)
				req.Header.Set("Shelf-Service", "team/target")
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
	}
}
