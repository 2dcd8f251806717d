package admission

import "time"

const (
	// returnRetention is how long a place is kept after the time for which it was given.
	returnRetention = 5 * time.Second
	// maxRetryAfter bounds the time after which a caller may return.
	maxRetryAfter = time.Minute
	// maxPlaces bounds the places of refused jobs; beyond it, jobs share the last one.
	maxPlaces = 20_000
)

// Returns gives refused jobs the times at which to return: one after the other, as there is
// room for each, and in the order in which they were refused. The zero value is empty.
type Returns struct {
	places map[string]place
	lines  map[string]line
	pruned time.Time
}

// place is the place of a refused job.
type place struct {
	firstRefused, at time.Time
	line             string
}

// line is where the next job of a line returns: room is expected at next, and the last job
// was told to return at last.
type line struct {
	next, last time.Time
}

// Refused returns when a job was refused first, or zero, and in which line.
func (r *Returns) Refused(id string) (first time.Time, line string) {
	p := r.places[id]
	return p.firstRefused, p.line
}

// RetryAfter returns in how many whole seconds a refused job may return: not before roomAt,
// nor before the jobs that were refused earlier for the same line, which take up room for a
// time each. A job that returns early keeps its place.
func (r *Returns) RetryAfter(name, id string, roomAt time.Time, takes time.Duration, now time.Time) (after time.Duration) {
	r.prune(now)
	p, known := r.places[id]
	l := r.lines[name]
	if !known || !now.Before(p.at) {
		l.next = latest(l.next, roomAt)
		p.at = l.next
		if p.firstRefused.IsZero() {
			p.firstRefused, p.line = now, name
		}
		l.next = l.next.Add(takes)
	}
	after = max(time.Second, ceilSecond(p.at.Sub(now)))
	if !known {
		// Seconds are whole on the wire, so rounding up could let a later job return first.
		after = max(after, ceilSecond(l.last.Sub(now)))
	}
	after = min(after, maxRetryAfter)
	p.at = now.Add(after)
	l.last = latest(l.last, p.at)
	r.keep(name, id, l, p)
	return after
}

func (r *Returns) keep(name, id string, l line, p place) {
	if r.places == nil {
		r.places, r.lines = make(map[string]place), make(map[string]line)
	}
	r.lines[name] = l
	if _, known := r.places[id]; known || len(r.places) < maxPlaces {
		r.places[id] = p
	}
}

// prune removes the places and lines whose time has passed.
func (r *Returns) prune(now time.Time) {
	if now.Sub(r.pruned) < time.Second {
		return
	}
	r.pruned = now
	for id, p := range r.places {
		if now.Sub(p.at) > returnRetention {
			delete(r.places, id)
		}
	}
	for name, l := range r.lines {
		if now.After(l.next) && now.After(l.last) {
			delete(r.lines, name)
		}
	}
}

func ceilSecond(d time.Duration) time.Duration {
	return (d + time.Second - 1).Truncate(time.Second)
}
