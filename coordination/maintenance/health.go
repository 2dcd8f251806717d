package maintenance

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// minHealthyReturns is how many instances must come back healthy before a wave
// continues after an unhealthy one. If one of the first few fails, maintenance is
// the likely cause; one of many is an ordinary failure, of which there are 310 a
// day in 24,000 instances (2.6).
const minHealthyReturns = 4

// haltOneIn is the failure ratio that halts a wave with minHealthyReturns: at least
// two instances and more than one in haltOneIn of those maintained are unhealthy.
// One in ten is far above the rate of ordinary failures.
const haltOneIn = 10

// maxNamedUnhealthy bounds the instances that the reason of a halt names.
const maxNamedUnhealthy = 5

// waveHealth counts the instances of a wave that came back healthy and lists those
// that did not.
type waveHealth struct {
	healthy   int
	unhealthy []unhealthyInstance
}

// unhealthyInstance is an instance that did not come back healthy, with the reason.
type unhealthyInstance struct {
	instance fleet.Instance
	problem  string
}

// evaluateWave counts the instances of a wave that came back healthy and collects
// those that did not. Ignored instances count as neither.
func evaluateWave(s *fleet.State, o Observation, w fleet.Wave, now time.Time) (h waveHealth) {
	excused := o.Waves[w.Name].IgnoredInstances
	var returned []unhealthyInstance
	others, othersFailed := 0, 0
	for _, i := range s.Instances {
		switch {
		case i.Phase == fleet.Draining && i.Wave == w.Name:
			if text := drainProblem(i, o.Instances[i.Name], now); text != "" && !slices.Contains(excused, i.Name) {
				h.unhealthy = append(h.unhealthy, unhealthyInstance{i, text})
			}
		case i.CompletedWave == w.Name:
			text := returnProblem(i, o.Instances[i.Name])
			switch {
			case text == "":
				h.healthy++
			case !slices.Contains(excused, i.Name):
				returned = append(returned, unhealthyInstance{i, text})
			}
		case slices.Contains(w.Pools, i.Pool):
			others++
			if i.Failed {
				othersFailed++
			}
		}
	}
	if exceedsBaseline(len(returned), h.healthy, othersFailed, others) {
		h.unhealthy = append(h.unhealthy, returned...)
	}
	slices.SortFunc(h.unhealthy, func(a, b unhealthyInstance) int { return strings.Compare(a.instance.Name, b.instance.Name) })
	return h
}

// drainProblem returns why a draining instance is unhealthy, or an empty text.
func drainProblem(i fleet.Instance, l InstanceObservation, now time.Time) (text string) {
	switch {
	case !l.RebootDeadline.IsZero() && !now.Before(l.RebootDeadline):
		return "not back by " + l.RebootDeadline.UTC().Format(time.RFC3339)
	case i.Failed:
		return "failed during its drain"
	}
	return ""
}

// returnProblem returns why an instance that finished the wave is unhealthy, or an
// empty text.
func returnProblem(i fleet.Instance, l InstanceObservation) (text string) {
	switch {
	case i.Failed:
		return "failed after it came back"
	case l.Failing:
		return "fails its tasks since it came back"
	}
	return ""
}

// exceedsBaseline reports whether instances fail after maintenance at more than
// twice the rate of those not yet maintained. A failure that affects both alike,
// such as the loss of a data centre, is not caused by the wave.
func exceedsBaseline(failed, healthy, othersFailed, others int) bool {
	if failed == 0 {
		return false
	}
	if others == 0 {
		return true
	}
	return failed*others > 2*othersFailed*(failed+healthy)
}

// mustHalt reports whether the unhealthy instances require the wave to halt.
func (h waveHealth) mustHalt() bool {
	if len(h.unhealthy) == 0 {
		return false
	}
	if h.healthy < minHealthyReturns {
		return true
	}
	return len(h.unhealthy) >= 2 && len(h.unhealthy)*haltOneIn > h.healthy+len(h.unhealthy)
}

// haltReason returns the reason of the halt for operators.
func (h waveHealth) haltReason() string {
	var named []string
	for _, f := range h.unhealthy[:min(len(h.unhealthy), maxNamedUnhealthy)] {
		named = append(named, f.instance.Name+" "+f.problem)
	}
	if more := len(h.unhealthy) - len(named); more > 0 {
		named = append(named, fmt.Sprintf("%d more", more))
	}
	return fmt.Sprintf("%d of %d instances did not come back well: %s",
		len(h.unhealthy), h.healthy+len(h.unhealthy), strings.Join(named, "; "))
}
