package cli

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/api/operatorapi"
	"github.com/azurepoint/azurepoint/demo/internal/fleet"
	"github.com/azurepoint/azurepoint/demo/internal/operator"
)

// Guards against a request that runs twice, is lost, or is told not run although
// it started, when the home of its key is killed while it is open (P3, P4, P5).
func TestKilledEntries(t *testing.T) {
	w := newWorld(t)
	for _, e := range w.Entries {
		w.served(batch)
		before := w.incarnation(e)
		w.must(e.Process.Kill())
		w.served(batch)
		w.restart(e, before)
	}
	w.served(batch)
	w.finish()
}

// Guards against an entry that goes on with what it had before a pause that was
// longer than its lifetime: claims that its backup has settled, and grants that
// have ended (P3, P4, P5).
func TestFrozenEntry(t *testing.T) {
	w := newWorld(t)
	e := w.Entries[0]
	others := w.others(e)
	w.send(others)
	w.served(batch)
	w.must(e.Process.Freeze())
	w.wait("the others drop the frozen entry", func() bool { return w.settled(others) })
	w.served(2 * batch)
	w.must(e.Process.Thaw())
	w.wait("all entries see the thawed entry", func() bool { return w.settled(w.Entries) })
	w.served(2 * batch)
	w.finish()
}

// Guards against a planned stop that cuts a request: each one ends done or not
// run while every entry is replaced in turn (P7).
func TestRollingReplacement(t *testing.T) {
	w := newWorld(t)
	for _, e := range w.Entries {
		w.served(batch / 2)
		before := w.incarnation(e)
		w.must(e.Process.Stop(testWithin))
		w.restart(e, before)
	}
	w.served(batch)
	if c := w.finish(); c.Unknown > 0 {
		t.Errorf("%d requests were cut: %v", c.Unknown, c.Reasons)
	}
}

// Guards against requests that need the key-value service, against a change that
// is told applied during its outage, and against a configuration that reverts in
// the outage, after it, or at an entry that starts during it (P8).
func TestPlatformDown(t *testing.T) {
	w := newWorld(t)
	_, err := w.run(w.Entries[0], "before", "set member phones cap 20")
	w.must(err)
	w.wait("all entries in force", func() bool { return w.settled(w.Entries) })
	stop := w.watchVersions(w.Entries[1:])
	w.disturb(platformFaults{Down: true})
	w.served(batch)
	changed := make(chan error, 1)
	go func() {
		_, err := w.run(w.Entries[1], "during", "set member phones cap 21")
		changed <- err
	}()
	e := w.Entries[0]
	before := w.incarnation(e)
	w.must(e.Process.Kill())
	w.restart(e, before)
	w.served(batch)
	for _, e := range w.Entries {
		w.checkCap(e, "20")
	}
	if err := <-changed; err == nil {
		t.Error("a change was told applied while the platform was down")
	}
	w.disturb(platformFaults{})
	w.wait("a change after the outage", func() bool {
		_, err := w.run(w.Entries[2], "after", "set member cafes cap 31")
		return err == nil
	})
	w.wait("all entries in force", func() bool { return w.settled(w.Entries) })
	// The change of the outage may have been written since; asking again with its
	// identifier gives it one fate.
	_, err = w.run(w.Entries[3], "during", "set member phones cap 21")
	w.must(err)
	w.wait("all entries in force", func() bool { return w.settled(w.Entries) })
	for _, e := range w.Entries {
		w.checkCap(e, "21")
	}
	stop()
	w.finish()
}

func (w *world) checkCap(e *fleet.Entry, want string) {
	w.t.Helper()
	reply, err := w.run(e, "", "show members")
	w.must(err)
	if got, _ := operator.Cell(reply, "phones", "cap"); got != want {
		w.t.Errorf("cap of phones at %s is %q, not %q", e.Name, got, want)
	}
}

// watchVersions reports each entry whose version goes back until stop is called.
func (w *world) watchVersions(entries []*fleet.Entry) (stop func()) {
	var stopped atomic.Bool
	var watchers sync.WaitGroup
	for _, e := range entries {
		watchers.Go(func() {
			highest := int64(0)
			for !stopped.Load() && w.ctx.Err() == nil {
				version, _ := w.sees(e)
				if version != 0 && version < highest {
					w.t.Errorf("version at %s went back from %d to %d", e.Name, highest, version)
				}
				highest = max(highest, version)
				time.Sleep(pollEvery)
			}
		})
	}
	return func() {
		stopped.Store(true)
		watchers.Wait()
	}
}

// Guards against a change that takes effect twice or not at all when the answers
// of writes are lost and operators send it again (P8): two operators send each
// change at the same moment to different entries, with one identifier. A pool
// that is created twice would be refused the second time, and an effect too many
// would raise the version.
func TestLostAnswersOfWrites(t *testing.T) {
	const changes = 12
	w := newWorld(t)
	start, _ := w.sees(w.Entries[0])
	w.disturb(platformFaults{LoseAnswers: 0.5})
	indexes := make([][2]int64, changes)
	var operators sync.WaitGroup
	for i := range changes {
		for side := range 2 {
			operators.Go(func() { indexes[i][side] = w.createPool(w.Entries[(i+side)%len(w.Entries)], i) })
		}
	}
	operators.Wait()
	w.disturb(platformFaults{})
	taken := make(map[int64]bool)
	for i, pair := range indexes {
		if pair[0] != pair[1] || pair[0] == 0 || taken[pair[0]] {
			t.Errorf("change %d is at indexes %v", i, pair)
		}
		taken[pair[0]] = true
	}
	w.wait("all entries in force", func() bool { return w.settled(w.Entries) })
	for _, e := range w.Entries {
		if version, _ := w.sees(e); version != start+changes {
			t.Errorf("version at %s rose from %d to %d by %d changes", e.Name, start, version, changes)
		}
		w.checkPools(e, changes)
	}
	w.served(batch)
	if c := w.finish(); c.Unknown > 0 {
		t.Errorf("%d requests unknown although only writes of the log lost answers: %v", c.Unknown, c.Reasons)
	}
}

// createPool asks with one identifier until it hears that the change is applied,
// as an operator does, and returns its index.
func (w *world) createPool(e *fleet.Entry, number int) (index int64) {
	for w.ctx.Err() == nil {
		reply, err := w.run(e, fmt.Sprintf("create-%d", number), fmt.Sprintf("create pool extra-%d budget 1", number))
		if err == nil {
			return reply.Change.Value.Index.Value
		}
		if reply != nil && reply.Change.Value.State == operatorapi.ChangeStateRefused {
			w.t.Errorf("change %d at %s: %v", number, e.Name, err)
			return 0
		}
	}
	return 0
}

func (w *world) checkPools(e *fleet.Entry, want int) {
	w.t.Helper()
	reply, err := w.run(e, "", "show pools")
	w.must(err)
	found := 0
	for _, r := range reply.Tables[0].Rows {
		for i := range want {
			if r.Cells[0] == fmt.Sprintf("extra-%d", i) {
				found++
			}
		}
	}
	if found != want {
		w.t.Errorf("%d of %d new pools at %s", found, want, e.Name)
	}
}
