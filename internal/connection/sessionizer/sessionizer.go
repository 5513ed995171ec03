// Package sessionizer defines the parameters of a session between two nodes and the
// connection below it. Both ends use the same ones.
//
// # Usage
//
//	session, err := yamux.Server(sessionizer.NewConn(conn), sessionizer.Config())
package sessionizer

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

// Session parameters.
const (
	acceptBacklog = 1024
	// windowBytes limits how much one stream buffers. Large bodies therefore use
	// constant memory and do not block small calls.
	windowBytes            = 256 << 10
	writeTimeout           = 5 * time.Second
	streamOpenCloseTimeout = time.Minute
)

// Config returns the yamux configuration of a session.
func Config() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	// The dialer probes sessions that have calls and closes those that have none.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = windowBytes
	config.StreamOpenTimeout = streamOpenCloseTimeout
	config.StreamCloseTimeout = streamOpenCloseTimeout
	config.LogOutput = io.Discard
	return config
}
