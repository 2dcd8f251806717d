package access

import (
	"sync"
	"time"
)

const (
	// confirmDivisor divides the bound into the interval at which a view is confirmed.
	confirmDivisor = 5
	// recheckDivisor divides the bound into the age from which a view that no watch has
	// confirmed is confirmed by a read of its own.
	recheckDivisor = 3
	// maxClockRatio is the highest ratio of a duration on the operators' clock to the same
	// one on the clock of an entry, which may be slow.
	maxClockRatio = 1.02
)

// Policy says within which time a removed key has to be out of use. The zero value
// does not limit the age of a view.
type Policy struct {
	// RevokeWithin is the time from the acknowledgement of a removal after which no request
	// with the key may be served; 0 means no limit.
	RevokeWithin time.Duration
}

// MaxAge returns the age of a view up to which requests with keys are served; 0 means no
// limit.
func (p Policy) MaxAge() time.Duration {
	return time.Duration(float64(p.RevokeWithin) / maxClockRatio)
}

// ConfirmInterval returns how often a view has to be confirmed, or 0 if its age does not
// matter.
func (p Policy) ConfirmInterval() time.Duration {
	return p.RevokeWithin / confirmDivisor
}

// RecheckAge returns the age from which a view is confirmed by a read of its own, because
// the answer to its watch is late; 0 means never.
func (p Policy) RecheckAge() time.Duration {
	return p.RevokeWithin / recheckDivisor
}

// Verdict is how a request is answered.
type Verdict int

// Verdicts on a request.
const (
	// Allowed means that the request is served.
	Allowed Verdict = iota
	// Unauthorised means that the request has no key or one that no organisation has.
	Unauthorised
	// Unconfirmed means that the view of the keys is too old to tell.
	Unconfirmed
)

// String returns the verdict as it is used in logs and metric names.
func (v Verdict) String() string {
	return [...]string{"allowed", "unauthorised", "unconfirmed"}[v]
}

// View records how recent the configuration of an entry is. It is safe for concurrent
// use; the zero value was never confirmed.
type View struct {
	mu sync.Mutex
	// confirmedAt is the time since boot at which the call was sent that confirmed the view.
	confirmedAt time.Duration
	confirmed   bool
	closed      bool
}

// Confirm records that a call which was sent at a time since boot has shown the view to be
// complete. Answers may arrive in any order.
func (v *View) Confirm(sentAt time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.confirmed || sentAt > v.confirmedAt {
		v.confirmedAt, v.confirmed = sentAt, true
	}
}

// Age returns how old the view may be at a time since boot; known is false for a view that
// was never confirmed.
func (v *View) Age(now time.Duration) (age time.Duration, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now - v.confirmedAt, v.confirmed
}

// Decide returns the verdict on a request that needs a key, given whether the view holds
// its key. A key that the view lacks may have been added since, so that it is only refused
// by a view that was confirmed when it had to be.
func (v *View) Decide(p Policy, keyKnown bool, now time.Duration) Verdict {
	age, confirmed := v.Age(now)
	limit := p.MaxAge()
	switch {
	case limit > 0 && (!confirmed || age > limit):
		return Unconfirmed
	case keyKnown:
		return Allowed
	case limit > 0 && age > p.RecheckAge()+p.ConfirmInterval():
		return Unconfirmed
	default:
		return Unauthorised
	}
}

// Transition reports whether the view has become too old since the last call, or recent
// enough again, with its age.
func (v *View) Transition(p Policy, now time.Duration) (changed, closed bool, age time.Duration) {
	age, confirmed := v.Age(now)
	closed = p.MaxAge() > 0 && (!confirmed || age > p.MaxAge())
	v.mu.Lock()
	defer v.mu.Unlock()
	changed = closed != v.closed
	v.closed = closed
	return changed, closed, age
}
