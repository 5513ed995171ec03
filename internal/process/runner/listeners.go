package runner

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/screener"
	"github.com/laburnumshelf/laburnumshelf/internal/process/configurer"
)

// listeners holds the open sockets of a node.
type listeners struct {
	calls net.Listener
	admin net.Listener
	peers net.Listener
	udp   net.PacketConn
	// readiness and registry are nil outside the users' platform.
	readiness net.Listener
	registry  net.Listener
}

// listen opens all sockets. On an error it leaves none open.
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

// shutdownTimeout limits how long a server waits for its HTTP connections to
// become idle when it shuts down.
const shutdownTimeout = 2 * time.Second

// shutdownDeadline returns the time until which a server may wait for its
// connections to become idle. It is before the end of the stop timeout, because the
// process may be killed at that end.
func (n *Node) shutdownDeadline() time.Time {
	deadline := time.Now().Add(shutdownTimeout)
	stop := time.Unix(0, n.stopDeadline.Load()).Add(-n.stopMargin() / exitMarginPart)
	if n.stopDeadline.Load() > 0 && stop.Before(deadline) {
		return stop
	}
	return deadline
}

// addServer adds an HTTP server on listener to group.
func (n *Node) addServer(group *run.Group, listener net.Listener, handler http.Handler, config screener.Config) {
	screened := screener.New(listener, config)
	server := &http.Server{
		Handler: handler,
	}
	screened.Configure(server)
	group.Add(func() error {
		err := server.Serve(screened)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) {
		ctx, cancel := context.WithDeadline(context.Background(), n.shutdownDeadline())
		defer cancel()
		server.Shutdown(ctx)
	})
}
