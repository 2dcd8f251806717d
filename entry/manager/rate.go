package manager

import (
	"math"
	"time"
)

// recentRate counts events of about the last second.
type recentRate struct {
	sum float64
	at  time.Time
}

// count adds an event.
func (r *recentRate) count(now time.Time) {
	r.sum, r.at = r.perSecond(now)+1, now
}

// perSecond returns the events a second; each of them fades over a second.
func (r *recentRate) perSecond(now time.Time) float64 {
	return r.sum * math.Exp(-max(0, now.Sub(r.at).Seconds()))
}
