package commander

import (
	"context"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/process/configurer"
	"github.com/laburnumshelf/laburnumshelf/internal/process/logwriter"
	"github.com/laburnumshelf/laburnumshelf/internal/process/runner"
	"github.com/laburnumshelf/laburnumshelf/internal/request/weigher"
)

var nodeCommand = command{
	name:  "node",
	short: "Run a node beside a backend server",
	long:  "Runs one node. SIGTERM drains it; a second signal stops it at once.",
	newRun: func(env *environment) flags.Commander {
		return &nodeRun{
			env: env,
		}
	},
}

// nodeRun holds the flags of the node command.
type nodeRun struct {
	env            *environment
	Config         string   `long:"config" value-name:"FILE" env:"LABURNUMSHELF_CONFIG" required:"true" description:"Process settings, JSON with comments"`
	CallAddress    string   `long:"call-address" value-name:"IP:PORT" description:"Override callAddress"`
	AdminAddress   string   `long:"admin-address" value-name:"IP:PORT" description:"Override adminAddress"`
	PeerAddress    string   `long:"peer-address" value-name:"IP:PORT" description:"Override peerAddress"`
	BackendAddress string   `long:"backend-address" value-name:"IP:PORT" description:"Override backendAddress"`
	LogURL         string   `long:"log" value-name:"URL" description:"Override logUrl"`
	Contacts       []string `long:"contact" value-name:"IP:PORT" description:"Add a first contact; may be repeated"`
	LogLevel       string   `long:"log-level" choice:"error" choice:"warning" choice:"info" choice:"debug" description:"Override logLevel"`
	Memory         string   `long:"memory" value-name:"MB" env:"LABURNUMSHELF_MEMORY_MB" description:"Override memoryMb"`
}

// Execute implements flags.Commander.
func (n *nodeRun) Execute([]string) error {
	// A SIGHUP or a change of the file from here on is not missed, however long the start takes.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	file := newWatchedFile(n.Config)
	config, err := n.readConfig()
	if err != nil {
		return err
	}
	writer := logwriter.New(n.env.stdout)
	defer writer.Close()
	log := newLogger(writer, config.LogLevel)
	debug.SetMemoryLimit(weigher.GarbageCollectorLimit(config.MemoryMB))
	node, err := runner.New(config, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		node.Drain()
		<-signals
		cancel()
	}()
	go n.watchConfig(ctx, node, log, hangups, file)
	return node.Run(ctx)
}

// filePollInterval is the interval at which the node checks whether the process
// settings file has changed, because it may change without a SIGHUP.
const filePollInterval = time.Second

// watchConfig reloads the process settings file after SIGHUP and when its modification
// time changes. If the new process settings are invalid, the node keeps the previous
// ones.
func (n *nodeRun) watchConfig(ctx context.Context, node *runner.Node, log *logrus.Logger, hangups <-chan os.Signal, file *watchedFile) {
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	for {
		cause := "file changed"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			cause = "SIGHUP"
			file.takeChange()
		case <-ticker.C:
			if !file.takeChange() {
				continue
			}
		}
		config, err := n.readConfig()
		if err != nil {
			log.WithError(err).WithField("cause", cause).Error("settings not reloaded; the previous settings stay in force")
			continue
		}
		node.Reload(config, cause)
	}
}

// watchedFile tells whether a file has changed since it was last read. Create it before the
// first read.
type watchedFile struct {
	path        string
	lastModTime time.Time
}

func newWatchedFile(path string) *watchedFile {
	return &watchedFile{
		path:        path,
		lastModTime: modTime(path),
	}
}

// takeChange reports whether the file has changed since the last call. The caller reads the
// file after it.
func (w *watchedFile) takeChange() bool {
	current := modTime(w.path)
	changed := !current.Equal(w.lastModTime)
	w.lastModTime = current
	return changed
}

// modTime returns the modification time of the file, or the zero time if it is
// unknown.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// readConfig returns the process settings in the file, overridden by the flags.
func (n *nodeRun) readConfig() (configurer.Config, error) {
	content, err := os.ReadFile(n.Config)
	if err != nil {
		return configurer.Config{}, errors.Wrap(err, "read process settings")
	}
	config, findings := configurer.Parse(n.Config, content)
	if err := findings.Err(); err != nil {
		return configurer.Config{}, err
	}
	for _, override := range []struct {
		flag    string
		text    string
		address *netip.AddrPort
	}{
		{flag: "--call-address", text: n.CallAddress, address: &config.CallAddress},
		{flag: "--admin-address", text: n.AdminAddress, address: &config.AdminAddress},
		{flag: "--peer-address", text: n.PeerAddress, address: &config.PeerAddress},
		{flag: "--backend-address", text: n.BackendAddress, address: &config.BackendAddress},
	} {
		if override.text == "" {
			continue
		}
		if *override.address, err = netip.ParseAddrPort(override.text); err != nil {
			return configurer.Config{}, errors.Wrapf(err, "flag %s", override.flag)
		}
	}
	for _, text := range n.Contacts {
		contact, err := netip.ParseAddrPort(text)
		if err != nil {
			return configurer.Config{}, errors.Wrap(err, "flag --contact")
		}
		config.Contacts = append(config.Contacts, contact)
	}
	if n.LogURL != "" {
		config.LogURL = n.LogURL
	}
	if n.LogLevel != "" {
		config.LogLevel = n.LogLevel
	}
	if n.Memory != "" {
		if err := config.SetMemory(n.Memory); err != nil {
			return configurer.Config{}, errors.Wrap(err, "flag --memory or variable LABURNUMSHELF_MEMORY_MB")
		}
	}
	return config, nil
}

// newLogger returns a logger that writes each event as one line of key=value
// pairs.
func newLogger(out io.Writer, level string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: "2006-01-02T15:04:05.000000Z07:00",
	})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return log
}
