package clock

import "time"

// Bound is a lower bound of the clock of another process, which may be slow and is not fast.
// Without a reading the bound is zero, at which clocks start.
type Bound struct {
	// MaxRatio is the highest ratio of a local duration to the same one on the other clock.
	MaxRatio float64

	incarnation int64
	reading     time.Duration
	at          time.Time
	// origin is a time before which the clock cannot have shown zero, had it always run.
	origin time.Time
}

// Observe records a reading of the clock that was requested and received at local times. A reading
// that lies below the bound was received late. The clock of another incarnation, or of an unknown
// one, starts anew.
func (b *Bound) Observe(incarnation int64, reading time.Duration, requested, received time.Time) {
	known := incarnation != 0 && incarnation == b.incarnation
	// The reading may have been rounded down.
	if origin := requested.Add(-reading - time.Millisecond); !known || origin.After(b.origin) {
		b.origin = origin
	}
	if known && reading < b.At(received) {
		return
	}
	b.incarnation, b.reading, b.at = incarnation, reading, received
}

// Reached returns a local time before which the clock cannot show a reading. It needs a reading
// of the clock.
func (b *Bound) Reached(reading time.Duration) time.Time {
	return b.origin.Add(reading)
}

// Incarnation returns the process of the last reading, or 0 if it is not known.
func (b *Bound) Incarnation() int64 {
	return b.incarnation
}

// At returns the lowest reading that the clock can have at a local time.
func (b *Bound) At(now time.Time) (reading time.Duration) {
	if b.at.IsZero() {
		return 0
	}
	elapsed := now.Sub(b.at)
	if elapsed > 0 && b.MaxRatio > 1 {
		elapsed = time.Duration(float64(elapsed) / b.MaxRatio)
	}
	return b.reading + elapsed
}

// Deadline returns a deadline on the clock for a local one. By the clock it is reached at most
// MaxRatio times the remaining duration after now.
func (b *Bound) Deadline(deadline, now time.Time) (reading time.Duration) {
	return b.At(now) + deadline.Sub(now)
}
