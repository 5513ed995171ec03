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

// Parse reads process settings; file names them in findings.
func Parse(file string, content []byte) (Config, parser.Findings) {
	root, findings := parser.Parse(file, content)
	if root == nil {
		return Config{}, findings
	}
	object := root.Object("id", "region", "zone", "service", "callAddress", "adminAddress", "peerAddress",
		"backendAddress", "slots", "connections", "logUrl", "contacts", "stopTimeout", "logLevel", "decisionsKept")
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
	if field := object.Field("id"); field != nil && config.ID == "" {
		field.Reportf("id is empty")
	}
	findings = root.Findings()
	findings.Sort()
	return config, findings
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
