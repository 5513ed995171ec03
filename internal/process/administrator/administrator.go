// Package administrator serves the requests of operators over HTTP: health, status,
// members, settings, decisions, drain and metrics.
//
// # Usage
//
//	handler := administrator.New(node)
//	http.Serve(listener, handler)
package administrator

import (
	"expvar"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tallier"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Member describes one member of the membership to operators.
type Member struct {
	ID           string `json:"id"`
	State        string `json:"state"`
	Region       string `json:"region"`
	Zone         string `json:"zone"`
	Service      string `json:"service"`
	PeerAddress  string `json:"peerAddress"`
	AdminAddress string `json:"adminAddress"`
}

// Status describes the state of one node to operators.
type Status struct {
	ID              string `json:"id"`
	Region          string `json:"region"`
	Zone            string `json:"zone"`
	Service         string `json:"service"`
	State           string `json:"state"`
	SettingsVersion int64  `json:"settingsVersion"`
	// LeftOut is nil if the node has received no later version than the one in force.
	LeftOut *LeftOut `json:"leftOut,omitempty"`
	// StoreEra is the highest known era of the store, or -1. StoreRestored reports whether the
	// records that this node keeps in the store are there, as far as the node knows.
	StoreEra      int64 `json:"storeEra"`
	StoreRestored bool  `json:"storeRestored"`
	InFlight      int   `json:"inFlight"`
	Limit         int   `json:"limit"`
	Queued        int   `json:"queued"`
	Threshold     int   `json:"threshold"`
	// OpenCalls is the number of calls to the local backend server that are not fully
	// answered.
	OpenCalls int `json:"open"`
	Members   int `json:"members"`
	Sessions  int `json:"sessions"`
	// GossipPackets and GossipBytes are the numbers of gossip packets sent and of
	// their bytes.
	GossipPackets int64 `json:"gossipPackets"`
	GossipBytes   int64 `json:"gossipBytes"`
	// Organisations is nil if the settings hold none.
	Organisations *Organisations `json:"organisations,omitempty"`
}

// LeftOut describes a version of the settings that a node has received and cannot apply.
type LeftOut struct {
	// Version is 0 if the version could not be read.
	Version int64     `json:"version"`
	Reason  string    `json:"reason"`
	Since   time.Time `json:"since"`
}

// Organisations describes the organisations in the settings of one node, and the requests that
// entered there.
type Organisations struct {
	Count int `json:"count"`
	Keys  int `json:"keys"`
	// Largest holds the organisations with the highest demand at this node.
	Largest []tallier.Usage `json:"largest"`
}

// Document describes one settings document in force to operators.
type Document struct {
	Path    string `json:"path"`
	Version int64  `json:"version"`
	Author  string `json:"author"`
	Content string `json:"content"`
}

// Node provides the state that operators query and the action that they can start.
type Node interface {
	Status() Status
	// Members returns the members that are not dead.
	Members() []Member
	// Documents returns the settings documents in force.
	Documents() []Document
	// Decisions returns the recorded decisions about a request.
	Decisions(requestID string) []recorder.ExportedDecision
	// Drain starts a graceful stop of the node and returns at once.
	Drain()
}

// New returns a handler for operators' requests to node.
func New(node Node) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/health", func(c echo.Context) error {
		return c.String(http.StatusOK, "ok\n")
	})
	e.GET("/ready", func(c echo.Context) error {
		if status := node.Status(); status.State != "serving" {
			return c.String(http.StatusServiceUnavailable, status.State+"\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET("/status", func(c echo.Context) error {
		return c.JSON(http.StatusOK, node.Status())
	})
	e.GET("/members", func(c echo.Context) error {
		return c.JSON(http.StatusOK, node.Members())
	})
	e.GET("/settings", func(c echo.Context) error {
		return c.JSON(http.StatusOK, node.Documents())
	})
	e.GET("/decisions/:request", func(c echo.Context) error {
		return c.JSON(http.StatusOK, node.Decisions(c.Param("request")))
	})
	e.POST("/drain", func(c echo.Context) error {
		node.Drain()
		return c.NoContent(http.StatusAccepted)
	})
	e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	return e
}

// NewDocument converts a settings document to the form that operators see.
func NewDocument(document *encoder.Document) Document {
	return Document{
		Path:    document.GetPath(),
		Version: document.GetVersion(),
		Author:  document.GetAuthor(),
		Content: string(document.GetContent()),
	}
}
