package retry

const (
	// DefaultRatio allows one retry for ten first attempts.
	DefaultRatio = 0.1
	// DefaultBurst lets a quiet entry retry a few requests at once, for example
	// when one endpoint with eight tasks fails.
	DefaultBurst = 10
	// rounding covers the error of summing fractions.
	rounding = 1e-9
)

// Budget is a token bucket that first attempts fill and retries empty; the zero
// value is full and has the default limits. It is not safe for concurrent use.
type Budget struct {
	// Ratio is the retries allowed for each first attempt; zero means
	// DefaultRatio.
	Ratio float64
	// Burst is the most retries that can be saved up; zero means DefaultBurst.
	Burst float64

	spent float64
}

// First records a first attempt.
func (b *Budget) First() {
	b.spent = max(0, b.spent-positive(b.Ratio, DefaultRatio))
}

// Retry tells whether a retry is allowed and counts it if so.
func (b *Budget) Retry() (allowed bool) {
	if b.spent+1 > positive(b.Burst, DefaultBurst)+rounding {
		return false
	}
	b.spent++
	return true
}

// Left returns how many retries are allowed now.
func (b *Budget) Left() (retries float64) {
	return positive(b.Burst, DefaultBurst) - b.spent
}

func positive(value, otherwise float64) float64 {
	if value > 0 {
		return value
	}
	return otherwise
}
