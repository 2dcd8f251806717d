package spare

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// Value is what the spare pool of a data centre leaves unserved, in slot-seconds
// an hour over the windows seen.
type Value struct {
	// Held is how many spare instances serve now.
	Held int
	// Unserved is the demand that neither its pool nor the spare pool can
	// serve at once and that has to queue.
	Unserved float64
	// UnservedWithOneMore is the same with one more spare instance.
	UnservedWithOneMore float64
}

// Buys is how many slot-seconds an hour one more spare instance serves at once.
func (v Value) Buys() float64 {
	return v.Unserved - v.UnservedWithOneMore
}

// Worth returns what one more spare instance buys; it is zero without a spare
// pool or without demand seen.
func Worth(s *fleet.State, o Observation, now time.Time) (v Value) {
	p := newPlanner(s, o, now)
	if p.spare == nil {
		return Value{}
	}
	overflow := p.overflow()
	each := float64(p.spare.each())
	slots := float64(p.spare.slots)
	v.Held = len(p.spare.serving)
	v.Unserved = unserved(overflow, slots)
	v.UnservedWithOneMore = unserved(overflow, slots+each)
	return v
}

func unserved(overflow []float64, slots float64) (slotSeconds float64) {
	if len(overflow) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range overflow {
		sum += max(0, v-slots)
	}
	return sum / float64(len(overflow)) * time.Hour.Seconds()
}
