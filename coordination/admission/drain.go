package admission

import "time"

// Turn returns when a job that takes a time once it runs is expected to start and to end, behind
// the work ahead of it.
func (b *Backlog) Turn(ahead, work Amount, run time.Duration, now time.Time) (startsAt, endsAt time.Time) {
	startsAt = b.DoneAt(ahead, Amount{}, now)
	return startsAt, latest(b.DoneAt(ahead.Plus(work), Amount{}, now), startsAt.Add(run))
}

// Drain is how fast accepted jobs end. The zero value has none.
type Drain struct {
	now, first, last time.Time
	ends             int
}

// NewDrain returns a drain from a time on.
func NewDrain(now time.Time) (d Drain) {
	return Drain{now: now, first: now.Add(maxRetryAfter), last: now}
}

// Add adds a job that is expected to end at a time. One that ends after the longest time after
// which a caller returns does not count.
func (d *Drain) Add(endsAt time.Time) {
	if endsAt.Sub(d.now) > maxRetryAfter {
		return
	}
	if endsAt.Before(d.first) {
		d.first = endsAt
	}
	d.ends++
	d.last = latest(d.last, endsAt)
}

// interval returns the mean time between two ends.
func (d *Drain) interval() (mean time.Duration) {
	if d.ends == 0 {
		return maxRetryAfter
	}
	return d.last.Sub(d.now) / time.Duration(d.ends)
}

// RetryWhenFull returns in how many whole seconds a job may return that is refused because
// there are too many jobs, by how many: each of those ends first, and then one for each caller
// that was refused earlier.
func (r *Returns) RetryWhenFull(id string, excess int, d Drain, now time.Time) (after time.Duration) {
	interval := d.interval()
	roomAt := d.first.Add(min(maxRetryAfter, time.Duration(excess)*interval))
	return r.RetryAfter(string(Count), id, latest(roomAt, now.Add(interval)), interval, now)
}
