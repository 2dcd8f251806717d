package event

import "github.com/apex/log"

// Event is a kind of log entry with a number that stays the same over releases.
type Event struct {
	Number int
	Level  log.Level
	Text   string
}

// Log writes the event with its fields.
func (e Event) Log(fields log.Fields) {
	entry := log.WithFields(fields).WithField("event", e.Number)
	switch e.Level {
	case log.DebugLevel:
		entry.Debug(e.Text)
	case log.WarnLevel:
		entry.Warn(e.Text)
	case log.ErrorLevel, log.FatalLevel:
		entry.Error(e.Text)
	default:
		entry.Info(e.Text)
	}
}
