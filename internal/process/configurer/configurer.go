// Package configurer parses the process settings of a node, which are written as
// JSON with comments, and reports all errors in them as findings.
//
// # Usage
//
//	config, findings := configurer.Parse("node.jsonc", content)
package configurer

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
	"github.com/laburnumshelf/laburnumshelf/internal/version/parser"
)

// Defaults and limits of process settings.
const (
	defaultStopTimeout       = 10 * time.Minute
	defaultDecisionsKept     = 65_536
	defaultSlots             = 64
	defaultConnections       = 256
	maxSlots                 = 100_000
	maxDecisionsKept         = 10_000_000
	defaultMemoryMB          = 184
	minMemoryMB              = 64
	maxMemoryMB              = 1 << 20
	minStopTimeout           = time.Second
	maxStopTimeout           = 24 * time.Hour
	minHeartbeatInterval     = 10 * time.Millisecond
	maxHeartbeatInterval     = time.Hour
	defaultHeartbeatInterval = 1500 * time.Millisecond
)

// Config holds the process settings of one node.
type Config struct {
	// ID identifies the node. It must be unique among all nodes.
	ID     string
	Region string
	Zone   string
	// Service is the service that the local backend server provides.
	Service describer.ServiceName
	// CallAddress is the address on which the node serves callers over HTTP.
	CallAddress netip.AddrPort
	// AdminAddress is the address on which the node serves operators over HTTP.
	AdminAddress netip.AddrPort
	// PeerAddress is the address on which the node serves other nodes over TCP and
	// UDP.
	PeerAddress netip.AddrPort
	// BackendAddress is the address of the local backend server.
	BackendAddress netip.AddrPort
	// Platform is set if clients, backend servers and operators use the protocols of
	// the users' platform. It is nil otherwise.
	Platform *Platform
	// Slots is the number of calls that the backend server runs at once.
	Slots int
	// Connections is the largest number of connections to the backend server.
	Connections int
	// CallConnections is the largest number of connections of callers, or 0 for the default.
	CallConnections int
	// LogURL is the URL of the platform's store, which holds its log and its tables. It
	// is empty without a store, and may be set even if Platform is nil.
	LogURL string
	// Contacts are the peer addresses that the node contacts first. They also
	// work without the store.
	Contacts []netip.AddrPort
	// StopTimeout is the longest duration of a graceful stop.
	StopTimeout time.Duration
	LogLevel    string
	// DecisionsKept is the number of latest decisions that the node keeps for queries.
	DecisionsKept int
	// MemoryMB is the memory that the process may take, in units of 1,000,000 bytes.
	MemoryMB int
}

// Platform holds the process settings that only the users' platform needs.
type Platform struct {
	// ReadinessAddress is the address on which the node answers readiness probes.
	ReadinessAddress netip.AddrPort
	// RegistryAddress is the address to which the local backend server sends its
	// heartbeats.
	RegistryAddress netip.AddrPort
	// HeartbeatInterval is the time between two heartbeats of the backend server.
	HeartbeatInterval time.Duration
}

// Parse returns the process settings in content and the findings in them. The
// findings name file as their source.
func Parse(file string, content []byte) (Config, parser.Findings) {
	root, findings := parser.Parse(file, content)
	if root == nil {
		return Config{}, findings
	}
	object := root.Object("id", "region", "zone", "service", "callAddress", "adminAddress", "peerAddress",
		"backendAddress", "slots", "connections", "callConnections", "logUrl", "contacts", "stopTimeout", "logLevel", "decisionsKept", "memoryMb", "platform")
	object.Require("id", "region", "zone", "service", "callAddress", "adminAddress", "peerAddress", "backendAddress")
	config := Config{
		ID:              object.String("id", ""),
		Region:          object.String("region", ""),
		Zone:            object.String("zone", ""),
		CallAddress:     object.Address("callAddress"),
		AdminAddress:    object.Address("adminAddress"),
		PeerAddress:     object.Address("peerAddress"),
		BackendAddress:  object.Address("backendAddress"),
		Slots:           int(object.Int("slots", 1, maxSlots, defaultSlots)),
		Connections:     int(object.Int("connections", 1, maxSlots, defaultConnections)),
		CallConnections: int(object.Int("callConnections", 1, maxSlots, 0)),
		LogURL:          object.String("logUrl", ""),
		StopTimeout:     object.Duration("stopTimeout", minStopTimeout, maxStopTimeout, defaultStopTimeout),
		LogLevel:        object.OneOf("logLevel", "info", "error", "warning", "info", "debug"),
		DecisionsKept:   int(object.Int("decisionsKept", 0, maxDecisionsKept, defaultDecisionsKept)),
		MemoryMB:        int(object.Int("memoryMb", minMemoryMB, maxMemoryMB, defaultMemoryMB)),
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
		HeartbeatInterval: object.Duration("heartbeatInterval", minHeartbeatInterval, maxHeartbeatInterval, defaultHeartbeatInterval),
	}
}

func readService(object parser.Object) describer.ServiceName {
	field := object.Field("service")
	if field == nil {
		return describer.ServiceName{}
	}
	name, err := describer.SplitServiceName(field.String())
	if err != nil {
		field.Reportf("%s", err)
	}
	return name
}

// SetMemory sets MemoryMB from text, which must be a whole number in the range of the setting.
func (c *Config) SetMemory(text string) error {
	megabytes, err := strconv.Atoi(text)
	if err != nil || megabytes < minMemoryMB || megabytes > maxMemoryMB {
		return errors.Newf("got %q, want a whole number of megabytes from %d to %d", text, minMemoryMB, maxMemoryMB)
	}
	c.MemoryMB = megabytes
	return nil
}
