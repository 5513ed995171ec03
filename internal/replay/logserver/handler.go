package logserver

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/laburnumshelf/laburnumshelf/internal/wire/logclient"
	"github.com/laburnumshelf/laburnumshelf/platform"
)

// maxReadRecords bounds the number of records in the answer to a read.
const maxReadRecords = 1000

// maxBodyBytes bounds the size of the records in an append.
const maxBodyBytes = 2 << 20

// Handler returns a handler that serves the store with the platform's protocol. A PUT
// to /faults sets the faults, one to /copy keeps a copy of the store, and one to /drill brings the
// store back from that copy.
func (s *Store) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.Use(s.nameEra)
	e.POST(platform.AppendPath, s.handleAppend)
	e.GET(platform.ReadPath, s.handleRead)
	e.GET(platform.NewestPath, s.handleNewest)
	e.PUT("/faults", s.handleFaults)
	e.PUT("/copy", s.handleCopy)
	e.PUT("/drill", s.handleDrill)
	return e
}

// nameEra sets the header that names the era of the store when the answer is written.
func (s *Store) nameEra(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			c.Response().Header().Set(platform.HeaderEra, strconv.FormatInt(s.Era(), 10))
		})
		return next(c)
	}
}

func (s *Store) handleAppend(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes+1))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if len(body) > maxBodyBytes {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, "append exceeds the size limit")
	}
	payloads, err := platform.SplitRecords(body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	answer := platform.AppendAnswer{}
	for i, payload := range payloads {
		if len(payload) > logclient.MaxRecordBytes {
			return echo.NewHTTPError(http.StatusRequestEntityTooLarge, "record exceeds the size limit")
		}
		offset, err := s.appendToTopic(c.Request().Context(), c.QueryParam(platform.ParamTopic), payload)
		if errors.Is(err, logclient.ErrOutcomeUnknown) {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
		}
		if i == 0 {
			answer.Offset = offset
		}
		answer.End = offset + 1
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Store) handleRead(c echo.Context) error {
	from, err := strconv.ParseInt(c.QueryParam(platform.ParamFrom), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "parameter from is not an offset")
	}
	millis, err := strconv.Atoi(c.QueryParam(platform.ParamWait))
	if err != nil {
		millis = 0
	}
	wait := time.Duration(millis) * time.Millisecond
	batch, err := s.readOrWait(c.Request().Context(), c.QueryParam(platform.ParamTopic), from, wait)
	if errors.Is(err, logclient.ErrCompacted) {
		return c.JSON(http.StatusGone, platform.CompactedAnswer{
			EarliestOffset: batch.Earliest,
		})
	}
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, platform.EncodeBatch(batch))
}

func (s *Store) handleNewest(c echo.Context) error {
	table := strings.TrimPrefix(c.QueryParam(platform.ParamTopic), platform.KeyedPrefix)
	entries, err := s.Newest(c.Request().Context(), table)
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	page := platform.NewestPage{
		Items: []platform.NewestItem{},
		End:   entries.Next,
	}
	for _, entry := range entries.Entries {
		if entry.Key > c.QueryParam(platform.ParamAfter) {
			page.Items = append(page.Items, platform.NewestItem{
				Key:   entry.Key,
				Value: entry.Value,
			})
		}
	}
	return c.JSON(http.StatusOK, page)
}

func (s *Store) handleFaults(c echo.Context) error {
	var faults Faults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	s.SetFaults(faults)
	return c.NoContent(http.StatusNoContent)
}
