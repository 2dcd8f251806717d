package admission

import "time"

const (
	// spacingPart is the part of the time, as its inverse, that recurring work may take.
	spacingPart = 5
	// spacingMemory is over how many times the work was done its duration is averaged.
	spacingMemory = 4
)

// Spacing determines how often an owner does recurring work, by how long that took lately: it
// takes at most a fifth of the time, as far as Longest allows. The zero value has no bound.
type Spacing struct {
	// Shortest and Longest bound the time from one begin to the next.
	Shortest, Longest time.Duration

	mean time.Duration
}

// Observe records how long the work took.
func (s *Spacing) Observe(took time.Duration) {
	if s.mean == 0 {
		s.mean = took
	}
	s.mean += (took - s.mean) / spacingMemory
}

// Interval returns the time from the begin of the work to when it may begin again.
func (s *Spacing) Interval() time.Duration {
	return min(max(s.Shortest, spacingPart*s.mean), s.Longest)
}
