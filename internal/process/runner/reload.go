package runner

import (
	"reflect"

	"github.com/sirupsen/logrus"

	"github.com/laburnumshelf/laburnumshelf/internal/process/configurer"
)

// Reload applies the log level and the stop timeout of config to the running node.
// Changes of other process settings take effect at the next start. Reload logs the
// names of their fields.
func (n *Node) Reload(config configurer.Config, cause string) {
	before := n.log.GetLevel()
	level, err := logrus.ParseLevel(config.LogLevel)
	if err != nil {
		level = before
	}
	// The log line is written if either of the two levels lets it through.
	n.log.SetLevel(max(before, level))
	defer n.log.SetLevel(level)
	n.stopTimeout.Store(int64(config.StopTimeout))
	n.log.WithFields(logrus.Fields{
		"cause":       cause,
		"logLevel":    config.LogLevel,
		"stopTimeout": config.StopTimeout,
		"needRestart": n.fieldsNeedingRestart(config),
	}).Info("settings reloaded")
}

// fieldsNeedingRestart returns the names of the changed fields that Reload does not
// apply.
func (n *Node) fieldsNeedingRestart(config configurer.Config) []string {
	names := []string{}
	before, after := reflect.ValueOf(n.config), reflect.ValueOf(config)
	for i := range before.NumField() {
		name := before.Type().Field(i).Name
		reloadable := name == "LogLevel" || name == "StopTimeout"
		if !reloadable && !reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			names = append(names, name)
		}
	}
	return names
}
