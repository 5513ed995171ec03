package runner

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/laburnumshelf/laburnumshelf/internal/process/configurer"
)

type listeners struct {
	calls net.Listener
	admin net.Listener
	peers net.Listener
	udp   net.PacketConn
	// readiness and registry are open on the users' platform only.
	readiness net.Listener
	registry  net.Listener
}

// listen opens all sockets, or none.
func listen(config configurer.Config) (listeners, error) {
	l := listeners{}
	var err error
	if l.calls, err = net.Listen("tcp", config.CallAddress.String()); err != nil {
		return l, errors.Wrap(err, "callAddress")
	}
	if l.admin, err = net.Listen("tcp", config.AdminAddress.String()); err != nil {
		l.close()
		return l, errors.Wrap(err, "adminAddress")
	}
	if l.peers, err = net.Listen("tcp", config.PeerAddress.String()); err != nil {
		l.close()
		return l, errors.Wrap(err, "peerAddress")
	}
	if l.udp, err = net.ListenPacket("udp", config.PeerAddress.String()); err != nil {
		l.close()
		return l, errors.Wrap(err, "peerAddress")
	}
	if config.Platform == nil {
		return l, nil
	}
	if l.readiness, err = net.Listen("tcp", config.Platform.ReadinessAddress.String()); err != nil {
		l.close()
		return l, errors.Wrap(err, "readinessAddress")
	}
	if l.registry, err = net.Listen("tcp", config.Platform.RegistryAddress.String()); err != nil {
		l.close()
		return l, errors.Wrap(err, "registryAddress")
	}
	return l, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.calls, l.admin, l.peers, l.readiness, l.registry} {
		if listener != nil {
			listener.Close()
		}
	}
	if l.udp != nil {
		l.udp.Close()
	}
}

// killMargin is left of the stop timeout for the end of the process itself.
const killMargin = 100 * time.Millisecond

// shutdownTime bounds the wait for idle HTTP connections at the end.
const shutdownTime = 2 * time.Second

// shutdownBy returns until when a server may wait for its connections: a stop must
// end before its timeout, when the process may be killed.
func (n *Node) shutdownBy() time.Time {
	by := time.Now().Add(shutdownTime)
	stop := time.Unix(0, n.stopBy.Load()).Add(-killMargin)
	if n.stopBy.Load() > 0 && stop.Before(by) {
		return stop
	}
	return by
}

func (n *Node) addServer(group *run.Group, listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: handler,
	}
	group.Add(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) {
		ctx, cancel := context.WithDeadline(context.Background(), n.shutdownBy())
		defer cancel()
		server.Shutdown(ctx)
	})
	return server
}
