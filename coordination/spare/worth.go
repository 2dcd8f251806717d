package spare

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// Value is the demand that the spare pool of a data centre leaves unserved, in
// slot-seconds per hour over the observed windows.
type Value struct {
	// Held is how many spare instances serve now.
	Held int
	// Unserved is the demand that neither its own pool nor the spare pool can
	// serve at once, so that it is queued.
	Unserved float64
	// UnservedWithOneMore is the same with one more spare instance.
	UnservedWithOneMore float64
}

// Gain returns how many slot-seconds per hour one more spare instance would
// serve at once.
func (v Value) Gain() float64 {
	return v.Unserved - v.UnservedWithOneMore
}

// EstimateValue returns the demand left unserved with the present spare pool and with
// one more instance. It is zero without a spare pool or without observed
// demand.
func EstimateValue(s *fleet.State, o Observation, now time.Time) (v Value) {
	p := newPlanner(s, o, now)
	if p.spare == nil {
		return Value{}
	}
	overflow := p.overflow()
	instanceSlots := float64(p.spare.slotsPerInstance())
	slots := float64(p.spare.slots)
	v.Held = len(p.spare.serving)
	v.Unserved = unservedPerHour(overflow, slots)
	v.UnservedWithOneMore = unservedPerHour(overflow, slots+instanceSlots)
	return v
}

func unservedPerHour(overflow []float64, slots float64) (slotSeconds float64) {
	if len(overflow) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range overflow {
		sum += max(0, v-slots)
	}
	return sum / float64(len(overflow)) * time.Hour.Seconds()
}
