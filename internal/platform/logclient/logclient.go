// Package logclient reads and appends records on the platform's append-only
// log.
//
// A stream is a named sequence of records with rising offsets. The platform
// keeps records for a limited time, may be slow or away, and may lose the
// answer to an append that took effect.
//
// # Usage
//
//	log := logclient.NewHTTP("http://127.0.0.1:7000", http.DefaultClient)
//	offset, err := log.Append(ctx, "settings", payload)
//	if errors.Is(err, logclient.ErrOutcomeUnknown) {
//		// Read the stream to learn whether the record is there.
//	}
//	batch, err := log.Read(ctx, "settings", from, 100)
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrOutcomeUnknown marks an append that may have taken effect.
var ErrOutcomeUnknown = errors.New("the log's answer was lost; read the stream before appending again")

// ErrUnavailable marks a request that the log refused or that never reached it.
var ErrUnavailable = errors.New("the platform's log is not available; try again later")

// MaxRecordBytes bounds one record.
const MaxRecordBytes = 4 << 20

// Log is the platform's append-only log.
type Log interface {
	// Append adds payload to stream and returns its offset.
	Append(ctx context.Context, stream string, payload []byte) (int64, error)
	// Read returns up to limit records of stream from offset from on. A from
	// below the earliest retained offset starts at the earliest one.
	Read(ctx context.Context, stream string, from int64, limit int) (Batch, error)
}

// Record is one record of a stream.
type Record struct {
	Offset  int64     `json:"offset"`
	Time    time.Time `json:"time"`
	Payload []byte    `json:"payload"`
}

// Batch is the answer to one read.
type Batch struct {
	// Earliest is the lowest offset still retained.
	Earliest int64 `json:"earliest"`
	// Next is the offset that the next append will get.
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// Appended is the answer to one append.
type Appended struct {
	Offset int64 `json:"offset"`
}

// HTTP is a Log reached over HTTP.
type HTTP struct {
	base   string
	client *http.Client
}

// NewHTTP returns a Log at the base URL, such as "http://127.0.0.1:7000".
func NewHTTP(base string, client *http.Client) *HTTP {
	return &HTTP{
		base:   base,
		client: client,
	}
}

func (h *HTTP) streamURL(stream string) string {
	return h.base + "/streams/" + url.PathEscape(stream) + "/records"
}

// Append implements Log.
func (h *HTTP) Append(ctx context.Context, stream string, payload []byte) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.streamURL(stream), bytes.NewReader(payload))
	if err != nil {
		return 0, errors.Wrap(err, "build append request")
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, errors.Mark(errors.Wrap(err, "append to log"), ErrOutcomeUnknown)
	}
	defer resp.Body.Close()
	var answer Appended
	if err := decode(resp, http.StatusCreated, &answer); err != nil {
		if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
			return 0, errors.Mark(err, ErrUnavailable)
		}
		return 0, errors.Mark(err, ErrOutcomeUnknown)
	}
	return answer.Offset, nil
}

// Read implements Log.
func (h *HTTP) Read(ctx context.Context, stream string, from int64, limit int) (Batch, error) {
	target := fmt.Sprintf("%s?from=%d&limit=%d", h.streamURL(stream), from, limit)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Batch{}, errors.Wrap(err, "build read request")
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return Batch{}, errors.Mark(errors.Wrap(err, "read log"), ErrUnavailable)
	}
	defer resp.Body.Close()
	var batch Batch
	if err := decode(resp, http.StatusOK, &batch); err != nil {
		return Batch{}, errors.Mark(err, ErrUnavailable)
	}
	return batch, nil
}

func decode(resp *http.Response, want int, into any) error {
	if resp.StatusCode != want {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		return errors.Newf("log answered %s: %s", resp.Status, bytes.TrimSpace(text))
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), "decode log answer")
}
