package commander

import (
	"context"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/process/configurer"
	"github.com/laburnumshelf/laburnumshelf/internal/process/logwriter"
	"github.com/laburnumshelf/laburnumshelf/internal/process/runner"
)

var nodeCommand = command{
	name:  "node",
	short: "Run the process beside a backend server",
	long:  "Runs one node. SIGTERM drains it; a second signal stops it at once.",
	options: func(env *environment) flags.Commander {
		return &nodeRun{
			env: env,
		}
	},
}

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
}

// Execute implements flags.Commander.
func (n *nodeRun) Execute([]string) error {
	config, err := n.read()
	if err != nil {
		return err
	}
	lines := logwriter.New(n.env.stdout)
	defer lines.Close()
	log := newLogger(lines, config.LogLevel)
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
	go n.watchFile(ctx, node, log)
	return node.Run(ctx)
}

// filePeriod is the time between two looks at the settings file, which may
// change without a signal.
const filePeriod = time.Second

// watchFile takes the settings file up again after SIGHUP and when it changed.
func (n *nodeRun) watchFile(ctx context.Context, node *runner.Node, log *logrus.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(filePeriod)
	defer ticker.Stop()
	known := modified(n.Config)
	for {
		cause := "file changed"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			cause = "SIGHUP"
		case <-ticker.C:
			if modified(n.Config).Equal(known) {
				continue
			}
		}
		known = modified(n.Config)
		config, err := n.read()
		if err != nil {
			log.WithError(err).WithField("cause", cause).Error("settings not reloaded; the earlier ones stay in force")
			continue
		}
		node.Reload(config, cause)
	}
}

// modified returns when the file was last changed, or zero when that is unknown.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// read returns the file's settings with the flags applied.
func (n *nodeRun) read() (configurer.Config, error) {
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
	return config, nil
}

// newLogger returns a logger of one key=value line for each event.
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
