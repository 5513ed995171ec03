package player

import (
	"fmt"
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/laburnumshelf/laburnumshelf/internal/replay/logserver"
)

var logCommand = command{
	name:  "log",
	short: "Run the stand-in for the platform's log",
	options: func(env *environment) flags.Commander {
		return &logOptions{
			env: env,
		}
	},
}

type logOptions struct {
	env        *environment
	Listen     string        `long:"listen" value-name:"IP:PORT" default:"127.0.0.1:7000" description:"Address to serve"`
	MaxRecords int           `long:"max-records" default:"0" description:"Records kept for each stream; 0 keeps all"`
	MaxAge     time.Duration `long:"max-age" default:"0" description:"Age of the records kept; 0 keeps all"`
}

// Execute implements flags.Commander.
func (l *logOptions) Execute([]string) error {
	store := logserver.New(logserver.Retention{
		MaxRecords: l.MaxRecords,
		MaxAge:     l.MaxAge,
	})
	fmt.Fprintf(l.env.stderr, "log stand-in listens on %s\n", l.Listen)
	return http.ListenAndServe(l.Listen, store.Handler())
}
