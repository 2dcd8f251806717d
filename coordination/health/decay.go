package health

import (
	"math"
	"slices"
	"time"
)

// decayFactor returns the weight of evidence of the given age.
func decayFactor(age time.Duration) (factor float64) {
	return math.Exp2(-age.Seconds() / evidenceHalfLife.Seconds())
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
