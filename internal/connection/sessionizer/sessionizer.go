// Package sessionizer holds the parameters that both ends of a session between
// nodes share.
//
// # Usage
//
//	session, err := yamux.Server(conn, sessionizer.Config())
package sessionizer

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

// Session parameters.
const (
	acceptBacklog = 1024
	// windowBytes bounds what one stream buffers, so that large bodies use
	// constant memory and do not hold up small calls.
	windowBytes   = 256 << 10
	keepAlive     = 5 * time.Second
	writeTimeout  = 5 * time.Second
	streamTimeout = time.Minute
)

// Config returns the parameters of a session.
func Config() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.EnableKeepAlive = true
	config.KeepAliveInterval = keepAlive
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = windowBytes
	config.StreamOpenTimeout = streamTimeout
	config.StreamCloseTimeout = streamTimeout
	config.LogOutput = io.Discard
	return config
}
