package maintenance

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// provenReturns is how many instances have to come back well before a wave
// goes on after a bad one: one of the first few is a likely sign of the cause,
// one of many is an ordinary failure (2.6 counts 310 a day in 24,000).
const provenReturns = 4

// badShare halts a proven wave: at least two bad instances and more than one
// in badShare of those tried. One in ten is far above ordinary failures.
const badShare = 10

// namedBad bounds how many instances a halt's reason names.
const namedBad = 5

// verdict is how the instances of a wave came back.
type verdict struct {
	good int
	bad  []fault
}

// fault is an instance that did not come back well.
type fault struct {
	instance fleet.Instance
	text     string
}

// judge counts the instances of a wave that came back well and those that did
// not; excused instances count as neither.
func judge(s *fleet.State, o Observation, w fleet.Wave, now time.Time) (v verdict) {
	excused := o.Waves[w.Name].Excused
	var returned []fault
	others, othersFailed := 0, 0
	for _, i := range s.Instances {
		switch {
		case i.Phase == fleet.Draining && i.Wave == w.Name:
			if text := overdue(i, o.Instances[i.Name], now); text != "" && !slices.Contains(excused, i.Name) {
				v.bad = append(v.bad, fault{i, text})
			}
		case i.Maintained == w.Name:
			text := failing(i, o.Instances[i.Name])
			switch {
			case text == "":
				v.good++
			case !slices.Contains(excused, i.Name):
				returned = append(returned, fault{i, text})
			}
		case slices.Contains(w.Pools, i.Pool):
			others++
			if i.Failed {
				othersFailed++
			}
		}
	}
	if correlated(len(returned), v.good, othersFailed, others) {
		v.bad = append(v.bad, returned...)
	}
	slices.SortFunc(v.bad, func(a, b fault) int { return strings.Compare(a.instance.Name, b.instance.Name) })
	return v
}

func overdue(i fleet.Instance, l InstanceLoad, now time.Time) (text string) {
	switch {
	case !l.BackBy.IsZero() && !now.Before(l.BackBy):
		return "not back by " + l.BackBy.UTC().Format(time.RFC3339)
	case i.Failed:
		return "failed during its drain"
	}
	return ""
}

func failing(i fleet.Instance, l InstanceLoad) (text string) {
	switch {
	case i.Failed:
		return "failed after it came back"
	case l.Failing:
		return "fails its tasks since it came back"
	}
	return ""
}

// correlated tells whether instances fail after maintenance at more than twice
// the rate of those not yet maintained; a failure that hits both alike, such
// as a lost data centre, is not the wave's.
func correlated(failed, good, othersFailed, others int) bool {
	if failed == 0 {
		return false
	}
	if others == 0 {
		return true
	}
	return failed*others > 2*othersFailed*(failed+good)
}

// gone tells whether the wave has gone bad.
func (v verdict) gone() bool {
	if len(v.bad) == 0 {
		return false
	}
	if v.good < provenReturns {
		return true
	}
	return len(v.bad) >= 2 && len(v.bad)*badShare > v.good+len(v.bad)
}

// reason says for operators why the wave halts.
func (v verdict) reason() string {
	var named []string
	for _, f := range v.bad[:min(len(v.bad), namedBad)] {
		named = append(named, f.instance.Name+" "+f.text)
	}
	if more := len(v.bad) - len(named); more > 0 {
		named = append(named, fmt.Sprintf("%d more", more))
	}
	return fmt.Sprintf("%d of %d instances did not come back well: %s",
		len(v.bad), v.good+len(v.bad), strings.Join(named, "; "))
}
