package flood

import (
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/share"
	"github.com/azurepoint/azurepoint/measure/internal/site"
)

// fate is what became of the requests of one member of a kind.
type fate struct {
	arrived int
	// done is how many ended by their deadline.
	done    int
	late    int
	refused int
	// waits are the times from arrival to start, in seconds, in order.
	waits []float64
}

// outcome is the result of one run.
type outcome struct {
	fates    [][members]fate
	exceeded int
}

// named is a policy with its name in the figures.
type named struct {
	name string
	make func(w *world) policy
}

// policies are what is compared; the first one is ours.
func policies() []named {
	return []named{
		{name: "current", make: newCurrent},
		{name: "fifo", make: newFIFO},
		{name: "strictPriority", make: newStrictPriority},
		{name: "staticSplit", make: newStaticSplit},
	}
}

// run plays the demand against a policy.
func run(s site.Site, load float64, p named, f flooding, seed int64) (o outcome) {
	w := &world{site: s, now: start}
	w.inUse = make([][members]int, len(s.Pools))
	for _, x := range s.Pools {
		limit := int(capPart * float64(x.Workers*site.SlotsPerWorker))
		w.caps = append(w.caps, [members]int{limit, limit})
		w.names = append(w.names, [members]string{x.Name + "0", x.Name + "1"})
	}
	w.policy = p.make(w)
	requests := demand(s, load, f, seed)
	for _, r := range requests {
		w.at(r.arrived, func() { w.policy.arrive(r) })
	}
	w.play()
	return w.judge(requests)
}

// judge sums up what became of the requests.
func (w *world) judge(requests []*request) (o outcome) {
	o.exceeded = w.exceeded
	o.fates = make([][members]fate, len(w.site.Pools))
	for _, r := range requests {
		o.fates[r.kind][r.member].add(r)
	}
	for k := range o.fates {
		for m := range o.fates[k] {
			slices.Sort(o.fates[k][m].waits)
		}
	}
	return o
}

func (f *fate) add(r *request) {
	f.arrived++
	switch {
	case r.refused:
		f.refused++
	case r.started.IsZero() || r.stopped || r.finished.After(r.deadline):
		f.late++
	default:
		f.done++
	}
	if !r.started.IsZero() {
		f.waits = append(f.waits, r.started.Sub(r.arrived).Seconds())
	}
}

// floods returns all floods of a site.
func floods(s site.Site) (list []flooding) {
	for kind := range s.Pools {
		for _, firstOnly := range []bool{false, true} {
			for _, sustained := range []bool{false, true} {
				list = append(list, flooding{kind: kind, firstOnly: firstOnly, sustained: sustained})
			}
		}
	}
	return list
}

func urgencyOf(s site.Site, kind int) (u share.Urgency) {
	u, _ = share.ParseUrgency(s.Pools[kind].Urgency)
	return u
}

// percentile returns the value that a part of the sorted values does not
// exceed; zero without values.
func percentile(sorted []float64, part float64) (value float64) {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

// length is how long requests arrive in a run.
func length(s site.Site) time.Duration {
	return cycles * cycle(s)
}
