package event

import (
	"sync/atomic"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

// Event is a kind of log entry with a number that stays the same over releases.
type Event struct {
	Number int
	Level  log.Level
	Text   string
}

// Limited is an event of which at most so many are written in a second; the others
// are counted.
type Limited struct {
	Event
	limiter *rate.Limiter
	dropped *atomic.Int64
}

// Limit bounds the entries of an event in a second; dropped counts those that are
// left out.
func (e Event) Limit(perSecond int, dropped *atomic.Int64) Limited {
	return Limited{Event: e, limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond), dropped: dropped}
}

// Allow tells whether an entry may be written now, so that its fields are worth
// gathering.
func (l Limited) Allow() bool {
	if l.limiter.Allow() {
		return true
	}
	l.dropped.Add(1)
	return false
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
