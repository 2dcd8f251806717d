package duration

const (
	// verdictWeight is the weight of a run in the share of slow ones.
	verdictWeight = 1.0 / 16
	// maxSlowShare is the share of slow runs above which a slow run is no straggler: most runs take
	// longer than was learned, and a copy of one would too.
	maxSlowShare = 0.5
)

// Stragglers tells the runs of a queue that take longer than almost all others from a queue whose
// runs all take longer than before. The zero value has seen no run. It has to see each run once.
type Stragglers struct {
	slow float64
}

// Observe records whether a run takes longer than almost all others by what was learned.
func (s *Stragglers) Observe(slow bool) {
	if slow {
		s.slow += verdictWeight
	}
	s.slow /= 1 + verdictWeight
}

// Common reports whether most of the last runs were slow.
func (s *Stragglers) Common() bool {
	return s.slow > maxSlowShare
}
