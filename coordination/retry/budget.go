package retry

const (
	// DefaultRatio allows one retry for ten first attempts.
	DefaultRatio = 0.1
	// DefaultBurst allows an entry that had no retries for a while to retry
	// several requests at once, for example when an endpoint with eight tasks
	// fails.
	DefaultBurst = 10
	// roundingTolerance covers the rounding error of summing fractions.
	roundingTolerance = 1e-9
)

// Budget is a retry budget: a token bucket that first attempts fill and retries
// empty. The zero value is full and has the default limits. It is not safe for
// concurrent use.
type Budget struct {
	// Ratio is how many retries each first attempt allows; zero means
	// DefaultRatio.
	Ratio float64
	// Burst is the size of the bucket in retries; zero means DefaultBurst.
	Burst float64

	spent float64
}

// RecordFirst records a first attempt, which adds Ratio retries to the budget.
func (b *Budget) RecordFirst() {
	b.spent = max(0, b.spent-positiveOr(b.Ratio, DefaultRatio))
}

// TryRetry reports whether a retry is allowed, and counts it if so.
func (b *Budget) TryRetry() (allowed bool) {
	if b.spent+1 > positiveOr(b.Burst, DefaultBurst)+roundingTolerance {
		return false
	}
	b.spent++
	return true
}

// Remaining returns how many retries the budget holds now.
func (b *Budget) Remaining() (retries float64) {
	return positiveOr(b.Burst, DefaultBurst) - b.spent
}

func positiveOr(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}
