// Package configurer reads a node's process settings from a file of JSON with
// comments and reports all findings.
//
// # Usage
//
//	config, findings := configurer.Parse("node.jsonc", content)
package configurer

import (
	"net/netip"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/parser"
)

// Defaults and limits of process settings.
const (
	defaultStopTimeout   = 10 * time.Minute
	defaultDecisionsKept = 65_536
	defaultSlots         = 64
	defaultConnections   = 256
	maxSlots             = 100_000
	maxDecisionsKept     = 10_000_000
	minStopTimeout       = time.Second
	maxStopTimeout       = 24 * time.Hour
	minHeartbeat         = 10 * time.Millisecond
	maxHeartbeat         = time.Hour
	defaultHeartbeat     = 1500 * time.Millisecond
)

// Config is the process settings of one node.
type Config struct {
	// ID names the node; it must be unique.
	ID     string
	Region string
	Zone   string
	// Service is the service that the local backend server runs.
	Service describer.ServiceName
	// CallAddress serves callers over HTTP.
	CallAddress netip.AddrPort
	// AdminAddress serves operators over HTTP.
	AdminAddress netip.AddrPort
	// PeerAddress serves other nodes over TCP and UDP.
	PeerAddress netip.AddrPort
	// BackendAddress is the local backend server.
	BackendAddress netip.AddrPort
	// Platform is set where clients, backend servers and operators speak the
	// users' platform.
	Platform *Platform
	// Slots is the number of calls the backend server runs at once.
	Slots int
	// Connections bounds the connections to the backend server.
	Connections int
	// LogURL is the platform's log; empty without one.
	LogURL string
	// Contacts are peer addresses for the first contact without the log.
	Contacts      []netip.AddrPort
	StopTimeout   time.Duration
	LogLevel      string
	DecisionsKept int
}

// Platform is the process settings that the users' platform needs.
type Platform struct {
	// ReadinessAddress is where the platform asks whether the node is ready.
	ReadinessAddress netip.AddrPort
	// RegistryAddress is where the local backend server sends its heartbeats.
	RegistryAddress netip.AddrPort
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval time.Duration
}

// Parse reads process settings; file names them in findings.
func Parse(file string, content []byte) (Config, parser.Findings) {
	root, findings := parser.Parse(file, content)
	if root == nil {
		return Config{}, findings
	}
	object := root.Object("id", "region", "zone", "service", "callAddress", "adminAddress", "peerAddress",
		"backendAddress", "slots", "connections", "logUrl", "contacts", "stopTimeout", "logLevel", "decisionsKept", "platform")
	object.Require("id", "region", "zone", "service", "callAddress", "adminAddress", "peerAddress", "backendAddress")
	config := Config{
		ID:             object.String("id", ""),
		Region:         object.String("region", ""),
		Zone:           object.String("zone", ""),
		CallAddress:    object.Address("callAddress"),
		AdminAddress:   object.Address("adminAddress"),
		PeerAddress:    object.Address("peerAddress"),
		BackendAddress: object.Address("backendAddress"),
		Slots:          int(object.Int("slots", 1, maxSlots, defaultSlots)),
		Connections:    int(object.Int("connections", 1, maxSlots, defaultConnections)),
		LogURL:         object.String("logUrl", ""),
		StopTimeout:    object.Duration("stopTimeout", minStopTimeout, maxStopTimeout, defaultStopTimeout),
		LogLevel:       object.OneOf("logLevel", "info", "error", "warning", "info", "debug"),
		DecisionsKept:  int(object.Int("decisionsKept", 0, maxDecisionsKept, defaultDecisionsKept)),
	}
	for _, contact := range object.Elements("contacts") {
		config.Contacts = append(config.Contacts, contact.Address())
	}
	config.Service = readService(object)
	if field := object.Field("platform"); field != nil {
		config.Platform = readPlatform(field)
	}
	if field := object.Field("id"); field != nil && config.ID == "" {
		field.Reportf("id is empty")
	}
	findings = root.Findings()
	findings.Sort()
	return config, findings
}

func readPlatform(node *parser.Node) *Platform {
	object := node.Object("readinessAddress", "registryAddress", "heartbeatInterval")
	object.Require("readinessAddress", "registryAddress")
	return &Platform{
		ReadinessAddress:  object.Address("readinessAddress"),
		RegistryAddress:   object.Address("registryAddress"),
		HeartbeatInterval: object.Duration("heartbeatInterval", minHeartbeat, maxHeartbeat, defaultHeartbeat),
	}
}

func readService(object parser.Object) describer.ServiceName {
	field := object.Field("service")
	if field == nil {
		return describer.ServiceName{}
	}
	name, err := describer.ParseServiceName(field.String())
	if err != nil {
		field.Reportf("%s", err)
	}
	return name
}
