package sizing

import "time"

const (
	// riseMemory is how long a burst is remembered that does not recur.
	riseMemory = 2 * time.Minute
	// startShare is the share of the peak of an earlier burst from which a rise counts as the
	// start of another one. It is above the rate between bursts and its random variation.
	startShare = 1.0 / 16
	// minBurstRate is the lowest peak, in jobs a second, of a burst that is remembered.
	minBurstRate = 8
	// maxSamples limits the samples of a burst, which are taken with each forecast.
	maxSamples = 256
)

// recurrence remembers how the rate of jobs rose in the last burst. The next one is recognised
// by its first jobs, before the moving averages show how fast it rises.
type recurrence struct {
	// peak is the highest rate of the last burst, and slope by how much the rate rose in a
	// second between startShare and half of it. endedAt is when it ended.
	peak, slope float64
	endedAt     time.Time
	// samples are the rates of the burst that lasts.
	samples []sample
	highest float64
}

// sample is the rate of jobs at a time.
type sample struct {
	at   time.Time
	rate float64
}

// observe adds the present rate. A burst ends when the rate has fallen to a quarter of its peak.
func (r *recurrence) observe(rate float64, now time.Time) {
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, sample{at: now, rate: rate})
	}
	r.highest = max(r.highest, rate)
	if rate > r.highest/4 {
		return
	}
	if r.highest >= minBurstRate {
		r.remember(now)
	}
	r.samples, r.highest = r.samples[:0], 0
}

// remember replaces the last burst by the one that has ended.
func (r *recurrence) remember(now time.Time) {
	r.peak, r.slope, r.endedAt = r.highest, 0, now
	var from sample
	for _, s := range r.samples {
		if s.rate <= r.peak*startShare {
			from = s
		}
		if s.rate >= r.peak/2 {
			if rise := s.at.Sub(from.at).Seconds(); !from.at.IsZero() && rise > 0 {
				r.slope = (s.rate - from.rate) / rise
			}
			return
		}
	}
}

// adjust returns the rise of a rate at a level by what the last burst showed: as steep as that
// up to half of its peak, and not above its peak.
func (r *recurrence) adjust(level, slope float64, rising bool, horizon time.Duration, now time.Time) float64 {
	if r.slope == 0 || now.Sub(r.endedAt) > riseMemory || level < r.peak*startShare || level >= r.peak {
		return slope
	}
	if rising && level < r.peak/2 {
		slope = max(slope, r.slope)
	}
	return min(slope, (r.peak-level)/horizon.Seconds())
}
