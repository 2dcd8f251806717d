package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/input"
	"github.com/azurepoint/azurepoint/coordination/job"
)

// Classes of jobs in the order in which the scheduler serves them.
const (
	ClassOnTime = iota
	ClassLate
	ClassSurplus
	ClassTooLate
)

// Rank orders jobs as the scheduler does.
type Rank struct {
	Class     int
	Priority  int
	OverShare bool
	// RemainingWork is the expected work of the tasks that are not done; jobs with little
	// of it go first.
	RemainingWork float64
}

// Compare returns a negative number if r goes before o, and a positive one if it goes after.
func (r Rank) Compare(o Rank) int {
	if r.OverShare != o.OverShare && r.Class == o.Class && r.Priority == o.Priority {
		if o.OverShare {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(r.Class, o.Class), cmp.Compare(r.Priority, o.Priority), cmp.Compare(r.RemainingWork, o.RemainingWork))
}

// Amount is work: resources times milliseconds, and orders to start. As a rate it is what
// can be done in a millisecond.
type Amount struct {
	CPU, MemoryMB, GPU, Starts float64
}

// AmountOf returns the work of tasks that hold a capacity for a time, and of the orders that
// start them.
func AmountOf(c job.Capacity, millis float64, starts int) Amount {
	return Amount{CPU: float64(c.CPU) * millis, MemoryMB: float64(c.MemoryMB) * millis, GPU: float64(c.GPU) * millis, Starts: float64(starts)}
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(o Amount) Amount {
	return Amount{CPU: a.CPU + o.CPU, MemoryMB: a.MemoryMB + o.MemoryMB, GPU: a.GPU + o.GPU, Starts: a.Starts + o.Starts}
}

func (a Amount) parts() [4]float64 {
	return [4]float64{a.CPU, a.MemoryMB, a.GPU, a.Starts}
}

// Supply is the capacity from a time on.
type Supply struct {
	From time.Time
	// Rate is the capacity. A resource of which the last supply has none is not limited.
	Rate Amount
}

// maxEstimate bounds estimates of a wait.
const maxEstimate = time.Hour

// Backlog is accepted work that waits for the same capacity. The zero value has neither work
// nor a limit.
type Backlog struct {
	// Supplies holds the expected capacity in the order of time.
	Supplies []Supply
	// Reserved is the rate of the work that is expected to arrive within the rates of the
	// organisations.
	Reserved Amount

	entries []entry
	// added holds the work that was added since the entries were sorted.
	added  []entry
	sorted bool
}

// entry is the work of one job; ahead is the work of the entries before it.
type entry struct {
	rank  Rank
	work  Amount
	ahead Amount
}

// Load adds the work of a job before the first use of the backlog.
func (b *Backlog) Load(r Rank, work Amount) {
	b.entries = append(b.entries, entry{rank: r, work: work})
}

// Add adds the work of a job that was accepted later.
func (b *Backlog) Add(r Rank, work Amount) {
	b.added = append(b.added, entry{rank: r, work: work})
}

func (b *Backlog) sort() {
	if b.sorted {
		return
	}
	b.sorted = true
	slices.SortFunc(b.entries, func(x, y entry) int { return x.rank.Compare(y.rank) })
	total := Amount{}
	for i := range b.entries {
		b.entries[i].ahead = total
		total = total.Plus(b.entries[i].work)
	}
}

// Ahead returns the work that goes before a job of a rank, or with it.
func (b *Backlog) Ahead(r Rank) (work Amount) {
	b.sort()
	i, _ := slices.BinarySearchFunc(b.entries, r, func(e entry, r Rank) int {
		if e.rank.Compare(r) <= 0 {
			return -1
		}
		return 1
	})
	if i > 0 {
		work = b.entries[i-1].ahead.Plus(b.entries[i-1].work)
	}
	for _, e := range b.added {
		if e.rank.Compare(r) <= 0 {
			work = work.Plus(e.work)
		}
	}
	return work
}

// DoneAt returns when an amount of work is done that begins now, at most maxEstimate later.
func (b *Backlog) DoneAt(work, reserved Amount, now time.Time) (at time.Time) {
	at = now
	less := reserved.parts()
	for resource, amount := range work.parts() {
		at = latest(at, b.doneAt(resource, amount, less[resource], now))
	}
	return at
}

func (b *Backlog) doneAt(resource int, amount, reserved float64, now time.Time) (at time.Time) {
	if len(b.Supplies) == 0 || amount <= 0 || b.Supplies[len(b.Supplies)-1].Rate.parts()[resource] <= 0 {
		return now
	}
	at = now
	for i, s := range b.Supplies {
		rate := s.Rate.parts()[resource] - reserved
		millis := float64(maxEstimate.Milliseconds())
		if i+1 < len(b.Supplies) {
			millis = max(0, float64(b.Supplies[i+1].From.Sub(at))/float64(time.Millisecond))
		}
		if rate > 0 && amount <= rate*millis {
			return at.Add(input.Milliseconds(amount / rate))
		}
		if rate > 0 {
			amount -= rate * millis
		}
		at = at.Add(input.Milliseconds(millis))
	}
	return now.Add(maxEstimate)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
