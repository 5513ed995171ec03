package main

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Ports of nodes are below the range from which the operating system picks ports for
// outgoing connections. Otherwise, such a connection could take the port of a node before
// the node listens on it.
const (
	firstPort = 10_000
	portCount = 9_000
)

// drawnPorts is the number of ports that freeAddress has tried. Processes of tests that run
// at the same time start at different ports.
var drawnPorts atomic.Int64

// freeAddress returns a loopback address whose port is free for TCP and UDP. It returns no
// port twice.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		port := firstPort + (int64(os.Getpid())*101+drawnPorts.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if isFree(address) {
			return address
		}
	}
	t.Fatal("no free loopback port left")
	return ""
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
