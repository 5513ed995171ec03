// Package administrator serves operators: health, status, members, settings,
// decisions, drain and metrics.
//
// # Usage
//
//	handler := administrator.New(administrator.Config{...})
//	http.Serve(listener, handler)
package administrator

import (
	"expvar"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/wire/encoder"
)

// Member is one member as operators see it.
type Member struct {
	ID           string `json:"id"`
	State        string `json:"state"`
	Region       string `json:"region"`
	Zone         string `json:"zone"`
	Service      string `json:"service"`
	PeerAddress  string `json:"peerAddress"`
	AdminAddress string `json:"adminAddress"`
}

// Status is the state of one node.
type Status struct {
	ID              string `json:"id"`
	Region          string `json:"region"`
	Zone            string `json:"zone"`
	Service         string `json:"service"`
	State           string `json:"state"`
	SettingsVersion int64  `json:"settingsVersion"`
	InFlight        int    `json:"inFlight"`
	Limit           int    `json:"limit"`
	Queued          int    `json:"queued"`
	Threshold       int    `json:"threshold"`
	OpenCalls       int    `json:"open"`
	Members         int    `json:"members"`
	Sessions        int    `json:"sessions"`
	// GossipPackets and GossipBytes count what was sent.
	GossipPackets int64 `json:"gossipPackets"`
	GossipBytes   int64 `json:"gossipBytes"`
}

// Document is one settings document in force.
type Document struct {
	Path    string `json:"path"`
	Version int64  `json:"version"`
	Author  string `json:"author"`
	Content string `json:"content"`
}

// Node is what the administrator shows and does.
type Node interface {
	Status() Status
	Members() []Member
	Documents() []Document
	Decisions(requestID string) []recorder.ExportedDecision
	Drain()
}

// New returns the handler of operators' requests.
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

// NewDocument returns the operators' view of a document.
func NewDocument(document *encoder.Document) Document {
	return Document{
		Path:    document.GetPath(),
		Version: document.GetVersion(),
		Author:  document.GetAuthor(),
		Content: string(document.GetContent()),
	}
}
