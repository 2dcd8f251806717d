package admission

import (
	"math"
	"time"
)

// Calibration of estimates.
const (
	// calibrationGain is the weight of a new observation in the averages.
	calibrationGain = 1.0 / 16
	// unknownDeviation is the deviation before the first observation.
	unknownDeviation = 0.5
	// minFactor and maxFactor bound an observation.
	minFactor, maxFactor = 0.25, 3
)

// Calibration corrects estimates by the error of earlier ones: it keeps the mean of the
// observed part of the estimate, and its mean deviation. The zero value trusts estimates
// but for unknownDeviation.
type Calibration struct {
	known           bool
	mean, deviation float64
}

// Observe records that a job was estimated to end at a time and ended at another, or has not
// ended until then.
func (c *Calibration) Observe(decided, estimated, ended time.Time) {
	if !estimated.After(decided) {
		return
	}
	factor := float64(ended.Sub(decided)) / float64(estimated.Sub(decided))
	factor = min(max(factor, minFactor), maxFactor)
	mean, deviation := c.values()
	c.known = true
	c.deviation = deviation + calibrationGain*(math.Abs(factor-mean)-deviation)
	c.mean = mean + calibrationGain*(factor-mean)
}

func (c *Calibration) values() (mean, deviation float64) {
	if c == nil || !c.known {
		return 1, unknownDeviation
	}
	return c.mean, c.deviation
}

// typical returns the estimate with its usual error corrected.
func (c *Calibration) typical(now, estimate time.Time) time.Time {
	mean, _ := c.values()
	return scale(now, estimate, mean)
}

// earliest returns the estimate as if it were too high by its usual deviation.
func (c *Calibration) earliest(now, estimate time.Time) time.Time {
	mean, deviation := c.values()
	return scale(now, estimate, max(mean-deviation, minFactor))
}

func scale(now, at time.Time, factor float64) time.Time {
	return now.Add(time.Duration(float64(at.Sub(now)) * factor))
}
