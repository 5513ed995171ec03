package labeler

import (
	"net/http"
	"testing"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
)

// testDialect returns a dialect with headers for everything that the tests need.
func testDialect() Dialect {
	return Dialect{
		RequestID:     "Id",
		Timeout:       "Timeout",
		Instance:      "Instance",
		CallerService: "Caller",
		Organisation:  "Organisation",
		FormatTimeout: time.Duration.String,
	}
}

// BenchmarkSetCallHeadersWithoutOrganisation measures the headers of a call that belongs to no
// organisation. Their cost must not rise with the code for organisations.
func BenchmarkSetCallHeadersWithoutOrganisation(b *testing.B) {
	dialect := testDialect()
	call := &caller.Call{
		RequestID:     "r",
		Instance:      "i",
		CallerService: "s",
		Deadline:      time.Now().Add(time.Hour),
	}
	h := http.Header{"Accept": {"*/*"}}
	b.ReportAllocs()
	for b.Loop() {
		dialect.SetCallHeaders(h, call)
		dialect.SetTimeout(h, call.Deadline)
	}
}
