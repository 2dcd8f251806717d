package outage

import "time"

const (
	// retries is how often callers repeat a request.
	retries = 4
	// minDelay is the shortest delay in whole seconds, as the header has them, and maxDelay
	// bounds the delay in a long outage, so that callers return after its end.
	minDelay = time.Second
	maxDelay = 15 * time.Second
	// defaultBearable is the length of an outage that is borne where the platform names none:
	// the store is reached again, or another entry gets the requests.
	defaultBearable = 6 * time.Second
	// growthStep is the precision of Returns.growth.
	growthStep = 0.125
)

// Returns decides when callers return. The delay grows with the age of the outage, as one that
// has lasted for a while is likely to last about as long again. It grows so far that a caller
// who was turned away at the begin has an attempt left after the longest outage that is borne,
// and no further, so that callers return soon after the end. A caller who is turned away later
// never returns earlier, and callers who come one after the other return so.
type Returns struct {
	// growth is the part of the outage's age that a caller waits, up to longest.
	growth  float64
	longest time.Duration
}

// NewReturns returns the rule for outages that last up to a time, or up to defaultBearable if it
// is zero.
func NewReturns(bearable time.Duration) (r Returns) {
	if bearable <= 0 {
		bearable = defaultBearable
	}
	for r.longest = minDelay; r.longest < maxDelay; r.longest += time.Second {
		for r.growth = 0; r.growth <= 1; r.growth += growthStep {
			if r.lastReturn() >= bearable {
				return r
			}
		}
	}
	return r
}

// lastReturn returns the age at which a caller returns for the last time that was turned away
// when the outage began.
func (r Returns) lastReturn() (age time.Duration) {
	for range retries {
		age += r.After(age)
	}
	return age
}

// After returns in how many whole seconds a caller may return who is turned away when the
// outage has lasted for a time.
func (r Returns) After(age time.Duration) (delay time.Duration) {
	age = max(age, 0)
	delay = min(time.Duration(r.growth*float64(age)).Round(time.Second), r.longest)
	// An outage that lasts about as long again is covered by the attempts together.
	delay = max(delay, (age / retries).Round(time.Second))
	return min(max(delay, minDelay), maxDelay)
}
