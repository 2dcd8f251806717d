package event

import (
	"sync/atomic"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

// Event is a type of log entry. Its number stays the same across releases.
type Event struct {
	Number int
	Level  log.Level
	Text   string
}

// RateLimited is an event whose log rate is limited. Entries beyond the limit are
// dropped and counted.
type RateLimited struct {
	Event
	limiter *rate.Limiter
	dropped *atomic.Int64
}

// WithRateLimit limits the event to perSecond log entries a second; dropped counts the
// others.
func (e Event) WithRateLimit(perSecond int, dropped *atomic.Int64) RateLimited {
	return RateLimited{Event: e, limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond), dropped: dropped}
}

// Allow reports whether an entry may be written now. Callers check it before they
// collect the fields of an entry.
func (l RateLimited) Allow() bool {
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
