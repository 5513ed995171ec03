package logserver

import (
	"maps"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"
)

// Copy is the content of a Store at one moment.
type Copy struct {
	topics map[string]*topic
}

// Copy returns a copy of the store, for Restore.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{
		topics: copyTopics(s.topics),
	}
}

// Restore brings the store back from a copy, as in a drill: what was written since is gone, its
// offsets are given out again, and the era rises by one. Reads that wait go on waiting.
func (s *Store) Restore(backup *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.topics {
		close(st.appended)
		st.appended = make(chan struct{})
	}
	s.topics = copyTopics(backup.topics)
	s.era++
}

// Era returns the number of times that the store came back from a copy.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// SetEra sets the era, as if another store had taken the place of this one.
func (s *Store) SetEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

func copyTopics(topics map[string]*topic) map[string]*topic {
	copies := make(map[string]*topic, len(topics))
	for name, st := range topics {
		copies[name] = &topic{
			earliest:    st.earliest,
			records:     slices.Clone(st.records),
			appendTimes: slices.Clone(st.appendTimes),
			newest:      maps.Clone(st.newest),
			appended:    make(chan struct{}),
		}
	}
	return copies
}

func (s *Store) handleCopy(c echo.Context) error {
	s.kept.Store(s.Copy())
	return c.NoContent(http.StatusNoContent)
}

func (s *Store) handleDrill(c echo.Context) error {
	backup := s.kept.Load()
	if backup == nil {
		return echo.NewHTTPError(http.StatusConflict, "there is no copy; send a PUT to /copy first")
	}
	s.Restore(backup)
	return c.NoContent(http.StatusNoContent)
}
