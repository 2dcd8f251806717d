package access

import (
	"sync"
	"time"
)

const (
	// confirmDivisor divides the bound into the interval at which a view is confirmed. An
	// answer confirms a view as of when its call was sent, one interval before, so that a
	// view is up to two intervals old.
	confirmDivisor = 6
	// recheckPercent is the part of the bound from which a view that no watch has confirmed
	// is confirmed by a read of its own. It exceeds two intervals and an answer's delay.
	recheckPercent = 40
	// maxClockRatio is the highest ratio of a duration on the operators' clock to the same
	// one on the clock of an entry, which may be slow.
	maxClockRatio = 1.02
)

// Policy is the time within which a removed key has to be out of use. The zero value
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
	return p.RevokeWithin * recheckPercent / 100
}

// Verdict is how a request is answered.
type Verdict int

// Verdicts on a request.
const (
	// Allowed means that the request is served.
	Allowed Verdict = iota
	// Unauthorised means that the request has no key or one that no organisation has.
	Unauthorised
	// Unconfirmed means that the view of the keys is too old for a verdict.
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

// Freshness is how recent a view is at a moment. The zero value belongs to a view that was
// never confirmed.
type Freshness struct {
	// Age is how long ago the call was sent that confirmed the view.
	Age       time.Duration
	Confirmed bool
}

// Freshness returns how recent the view is at a time since boot.
func (v *View) Freshness(now time.Duration) Freshness {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.confirmed {
		return Freshness{}
	}
	return Freshness{Age: now - v.confirmedAt, Confirmed: true}
}

// TooOld reports whether requests with keys are not served by a view.
func (p Policy) TooOld(f Freshness) bool {
	return p.RevokeWithin > 0 && (!f.Confirmed || f.Age > p.MaxAge())
}

// Decide returns the verdict on a request that needs a key, given whether the view holds
// its key. The freshness must have been read before the key was looked up: a configuration
// that is replaced in between would otherwise pass for the one that was confirmed. A key
// that the view lacks may have been added since, so that it is only refused by a view that
// was confirmed when it had to be.
func (p Policy) Decide(f Freshness, keyKnown bool) Verdict {
	switch {
	case p.TooOld(f):
		return Unconfirmed
	case keyKnown:
		return Allowed
	case p.RevokeWithin > 0 && f.Age > p.RecheckAge()+p.ConfirmInterval():
		return Unconfirmed
	default:
		return Unauthorised
	}
}

// Transition reports whether the view has become too old since the last call, or recent
// enough again, with its freshness.
func (v *View) Transition(p Policy, now time.Duration) (changed, closed bool, f Freshness) {
	f = v.Freshness(now)
	closed = p.TooOld(f)
	v.mu.Lock()
	defer v.mu.Unlock()
	changed = closed != v.closed
	v.closed = closed
	return changed, closed, f
}
