package input

import (
	"math"
	"time"

	"github.com/go-faster/errors"
)

// maxDuration keeps the sum of a duration and a present time within what both types hold.
const maxDuration = 100 * 365 * 24 * time.Hour

// Whole returns a figure without its fraction, or an error unless it is from 0 to most.
func Whole(figure float64, most int) (n int, err error) {
	if !(figure >= 0 && figure <= float64(most)) { // false for NaN too
		return 0, errors.Errorf("input: %g is not from 0 to %d", figure, most)
	}
	return int(figure), nil
}

// Clamp returns the whole number from low to high that is nearest to a figure without its
// fraction, and low for NaN. A conversion of figures out of range depends on the processor.
func Clamp(figure float64, low, high int) int {
	switch {
	case math.IsNaN(figure) || figure <= float64(low):
		return low
	case figure >= float64(high):
		return high
	default:
		return int(figure)
	}
}

// Seconds returns a duration of seconds, at most a century.
func Seconds(figure float64) time.Duration {
	return duration(figure, time.Second)
}

// Milliseconds returns a duration of milliseconds, at most a century.
func Milliseconds(figure float64) time.Duration {
	return duration(figure, time.Millisecond)
}

func duration(figure float64, unit time.Duration) time.Duration {
	if math.IsNaN(figure) {
		return 0
	}
	limit := float64(maxDuration / unit)
	return time.Duration(max(-limit, min(figure, limit)) * float64(unit))
}
