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

// Guards against a request that runs twice, is lost, or is reported not run
// although it started, when the primary of its key is killed while the request is
// open (P3, P4, P5).
func TestKilledEntries(t *testing.T) {
	tf := newTestFleet(t)
	for _, e := range tf.Entries {
		tf.waitForDone(requestBatch)
		before := tf.incarnation(e)
		tf.must(e.Process.Kill())
		tf.waitForDone(requestBatch)
		tf.restart(e, before)
	}
	tf.waitForDone(requestBatch)
	tf.finishAndCheck()
}

// Guards against an entry that uses stale state after a pause longer than its
// lifetime: claims that its backup has settled, and grants that have ended (P3,
// P4, P5).
func TestFrozenEntry(t *testing.T) {
	tf := newTestFleet(t)
	e := tf.Entries[0]
	others := tf.others(e)
	tf.startLoad(others)
	tf.waitForDone(requestBatch)
	tf.must(e.Process.Suspend())
	tf.waitUntil("the others remove the suspended entry", func() bool { return tf.converged(others) })
	tf.waitForDone(2 * requestBatch)
	tf.must(e.Process.Resume())
	tf.waitUntil("all entries list the resumed entry", func() bool { return tf.converged(tf.Entries) })
	tf.waitForDone(2 * requestBatch)
	tf.finishAndCheck()
}

// Guards against a planned stop that interrupts a request: while every entry is
// replaced in turn, each request must end as done or not run (P7).
func TestRollingReplacement(t *testing.T) {
	tf := newTestFleet(t)
	for _, e := range tf.Entries {
		tf.waitForDone(requestBatch / 2)
		before := tf.incarnation(e)
		tf.must(e.Process.Stop(testTimeout))
		tf.restart(e, before)
	}
	tf.waitForDone(requestBatch)
	if c := tf.finishAndCheck(); c.Unknown > 0 {
		t.Errorf("%d requests have an unknown outcome: %v", c.Unknown, c.Reasons)
	}
}

// Guards against requests that need the key-value service, against a change that
// is reported applied during an outage of that service, and against a
// configuration that reverts during the outage, after it, or at an entry that
// starts during it (P8).
func TestPlatformDown(t *testing.T) {
	tf := newTestFleet(t)
	_, err := tf.runAt(tf.Entries[0], "before", "set member phones cap 20")
	tf.must(err)
	tf.waitUntil("the same version in force at all entries", func() bool { return tf.converged(tf.Entries) })
	stop := tf.watchVersions(tf.Entries[1:])
	tf.setPlatformFaults(platformFaults{Down: true})
	tf.waitForDone(requestBatch)
	changed := make(chan error, 1)
	go func() {
		_, err := tf.runAt(tf.Entries[1], "during", "set member phones cap 21")
		changed <- err
	}()
	e := tf.Entries[0]
	before := tf.incarnation(e)
	tf.must(e.Process.Kill())
	tf.restart(e, before)
	tf.waitForDone(requestBatch)
	for _, e := range tf.Entries {
		tf.checkCap(e, "20")
	}
	if err := <-changed; err == nil {
		t.Error("a change was reported applied while the platform was down")
	}
	tf.setPlatformFaults(platformFaults{})
	tf.waitUntil("a change after the outage", func() bool {
		_, err := tf.runAt(tf.Entries[2], "after", "set member cafes cap 31")
		return err == nil
	})
	tf.waitUntil("the same version in force at all entries", func() bool { return tf.converged(tf.Entries) })
	// The change of the outage may have been written since; sending it again with
	// its identifier returns that result or applies it once.
	_, err = tf.runAt(tf.Entries[3], "during", "set member phones cap 21")
	tf.must(err)
	tf.waitUntil("the same version in force at all entries", func() bool { return tf.converged(tf.Entries) })
	for _, e := range tf.Entries {
		tf.checkCap(e, "21")
	}
	stop()
	tf.finishAndCheck()
}

func (tf *testFleet) checkCap(e *fleet.Entry, want string) {
	tf.t.Helper()
	reply, err := tf.runAt(e, "", "show members")
	tf.must(err)
	if got, _ := operator.Cell(reply, "phones", "cap"); got != want {
		tf.t.Errorf("cap of phones at %s is %q, not %q", e.Name, got, want)
	}
}

// watchVersions polls the entries until stop is called and reports each version
// that is lower than an earlier one.
func (tf *testFleet) watchVersions(entries []*fleet.Entry) (stop func()) {
	var stopped atomic.Bool
	var watchers sync.WaitGroup
	for _, e := range entries {
		watchers.Go(func() {
			highest := int64(0)
			for !stopped.Load() && tf.ctx.Err() == nil {
				version, _ := tf.showVersions(e)
				if version != 0 && version < highest {
					tf.t.Errorf("version at %s went back from %d to %d", e.Name, highest, version)
				}
				highest = max(highest, version)
				time.Sleep(pollInterval)
			}
		})
	}
	return func() {
		stopped.Store(true)
		watchers.Wait()
	}
}

// Guards against a change that takes effect twice or not at all when the responses
// to writes are lost and operators retry it (P8): two operators send each change
// at the same time to different entries, with the same identifier. The second
// creation of a pool would be refused, and a second effect would raise the
// version once more.
func TestLostAnswersOfWrites(t *testing.T) {
	const changes = 12
	tf := newTestFleet(t)
	start, _ := tf.showVersions(tf.Entries[0])
	tf.setPlatformFaults(platformFaults{LoseAnswers: 0.5})
	indexes := make([][2]int64, changes)
	var operators sync.WaitGroup
	for i := range changes {
		for side := range 2 {
			operators.Go(func() { indexes[i][side] = tf.createPool(tf.Entries[(i+side)%len(tf.Entries)], i) })
		}
	}
	operators.Wait()
	tf.setPlatformFaults(platformFaults{})
	taken := make(map[int64]bool)
	for i, pair := range indexes {
		if pair[0] != pair[1] || pair[0] == 0 || taken[pair[0]] {
			t.Errorf("change %d is at indexes %v", i, pair)
		}
		taken[pair[0]] = true
	}
	tf.waitUntil("the same version in force at all entries", func() bool { return tf.converged(tf.Entries) })
	for _, e := range tf.Entries {
		if version, _ := tf.showVersions(e); version != start+changes {
			t.Errorf("version at %s rose from %d to %d by %d changes", e.Name, start, version, changes)
		}
		tf.checkPools(e, changes)
	}
	tf.waitForDone(requestBatch)
	if c := tf.finishAndCheck(); c.Unknown > 0 {
		t.Errorf("%d requests have an unknown outcome although only writes to the change log lost responses: %v", c.Unknown, c.Reasons)
	}
}

// createPool retries a change with one identifier until it is applied, as an
// operator does, and returns its index.
func (tf *testFleet) createPool(e *fleet.Entry, number int) (index int64) {
	for tf.ctx.Err() == nil {
		reply, err := tf.runAt(e, fmt.Sprintf("create-%d", number), fmt.Sprintf("create pool extra-%d budget 1", number))
		if err == nil {
			return reply.Change.Value.Index.Value
		}
		if reply != nil && reply.Change.Value.State == operatorapi.ChangeStateRefused {
			tf.t.Errorf("change %d at %s: %v", number, e.Name, err)
			return 0
		}
	}
	return 0
}

func (tf *testFleet) checkPools(e *fleet.Entry, want int) {
	tf.t.Helper()
	reply, err := tf.runAt(e, "", "show pools")
	tf.must(err)
	found := 0
	for _, r := range reply.Tables[0].Rows {
		for i := range want {
			if r.Cells[0] == fmt.Sprintf("extra-%d", i) {
				found++
			}
		}
	}
	if found != want {
		tf.t.Errorf("%d of %d new pools at %s", found, want, e.Name)
	}
}
