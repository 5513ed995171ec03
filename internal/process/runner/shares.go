package runner

import (
	"syscall"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/connection/screener"
)

// Shares of the process's descriptors. The rest is for the connections that the node opens: to
// other nodes, to the backend server and to the store.
const (
	callShare  = 2
	peerShare  = 4
	localShare = 32
	// maxCallConnections is the default limit of callers' connections. Each takes about 20 KB
	// of resident memory before its request is accepted, 40 MB together.
	maxCallConnections = 2048
	// maxPeerConnections is more than two sessions from each of 1,800 nodes.
	maxPeerConnections = 4096
	// The servers for readiness, registry and operators have few clients.
	minLocalConnections = 8
	maxLocalConnections = 128
)

// shares are the largest numbers of connections that the node accepts.
type shares struct {
	calls int
	peers int
	// local applies to each of the servers for readiness, registry and operators.
	local int
}

// newShares divides the descriptors of the process. callConnections is the limit of callers'
// connections in the process settings, or 0.
func newShares(descriptors, callConnections int) shares {
	s := shares{
		calls: min(descriptors/callShare, maxCallConnections),
		peers: min(descriptors/peerShare, maxPeerConnections),
		local: min(max(descriptors/localShare, minLocalConnections), maxLocalConnections),
	}
	if callConnections > 0 {
		s.calls = callConnections
	}
	return s
}

// descriptorLimit returns how many descriptors the process may open.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return maxCallConnections
	}
	return int(min(limit.Cur, 1<<30))
}

// callScreen returns the parameters of the server for callers, with the limits of the settings in
// force. Their requests end by the deadlines of their calls.
func (n *Node) callScreen() screener.Config {
	return screener.Config{
		Budget:         n.budget,
		MaxConnections: n.shares.calls,
		Limits: func() screener.Limits {
			limits := n.settings().Hosts[n.config.Service.Team].Limits
			return screener.Limits{
				HeaderBytes:   limits.HeaderBytes,
				HeaderTimeout: limits.HeaderTimeout,
				IdleTimeout:   limits.IdleTimeout,
			}
		},
	}
}

// Limits of readiness probes, heartbeats and operators' requests.
const (
	localHeaderBytes   = 16 << 10
	localHeaderTimeout = 5 * time.Second
	// localServeTimeout is shorter than the time after which a backend server without
	// heartbeats is considered gone.
	localServeTimeout = 5 * time.Second
	adminServeTimeout = 30 * time.Second
)

// localScreen returns the parameters of the servers for readiness, registry and operators.
func (n *Node) localScreen(serveTimeout time.Duration) screener.Config {
	return screener.Config{
		Budget:         n.budget,
		MaxConnections: n.shares.local,
		ServeTimeout:   serveTimeout,
		Limits: func() screener.Limits {
			return screener.Limits{
				HeaderBytes:   localHeaderBytes,
				HeaderTimeout: localHeaderTimeout,
			}
		},
	}
}
