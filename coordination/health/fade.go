package health

import (
	"math"
	"slices"
	"time"
)

// fadeBy returns what is left of evidence of that age.
func fadeBy(age time.Duration) (part float64) {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
