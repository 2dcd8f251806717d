package capacity

import (
	"math"
	"testing"
)

// Guards against a wrong fit: costs on a known line must give its slope and
// intercept.
func TestFitFindsTheLine(t *testing.T) {
	s := series{
		sizes: []Size{{Entries: 2}, {Entries: 4}, {Entries: 8}},
		value: func(s Size) float64 { return float64(s.Entries) },
	}
	costs := []Cost{{Peer: 7}, {Peer: 11}, {Peer: 19}}
	slope, base := s.fit(costs, figure{value: func(c Cost) float64 { return c.Peer }})
	if math.Abs(slope-2) > 1e-9 || math.Abs(base-3) > 1e-9 {
		t.Errorf("slope %g, base %g", slope, base)
	}
}
