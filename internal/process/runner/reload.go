package runner

import (
	"reflect"

	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/process/configurer"
)

// Reload takes over process settings that changed while the node runs: the log
// level and the stop timeout. Others take effect at the next start, and are
// named in the log.
func (n *Node) Reload(config configurer.Config, cause string) {
	before := n.log.GetLevel()
	level, err := logrus.ParseLevel(config.LogLevel)
	if err != nil {
		level = before
	}
	// The line is written at the more talkative of the two levels.
	n.log.SetLevel(max(before, level))
	defer n.log.SetLevel(level)
	n.stopTimeout.Store(int64(config.StopTimeout))
	n.log.WithFields(logrus.Fields{
		"cause":       cause,
		"logLevel":    config.LogLevel,
		"stopTimeout": config.StopTimeout,
		"needRestart": n.needRestart(config),
	}).Info("settings reloaded")
}

// needRestart returns the names of the changed fields that Reload does not
// take over.
func (n *Node) needRestart(config configurer.Config) []string {
	names := []string{}
	before, after := reflect.ValueOf(n.config), reflect.ValueOf(config)
	for i := range before.NumField() {
		name := before.Type().Field(i).Name
		taken := name == "LogLevel" || name == "StopTimeout"
		if !taken && !reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			names = append(names, name)
		}
	}
	return names
}
