package node

import (
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/entry/standin"
)

// TestHealthyEntryOwnsPoolsInTheEnd guards against an entry whose processes end soon after they have claimed the
// pools, again and again, and that keeps a healthy entry out although that one has fewer cores.
func TestHealthyEntryOwnsPoolsInTheEnd(t *testing.T) {
	f := newFleet(t)
	// An entry that is killed hands nothing over.
	f.messages.set(func(string) standin.Fault { return standin.FaultLost })
	strong := f.startWithCores("strong", 4)
	strong.awaitManager()
	weak := f.startWithCores("weak", 1)
	for range 6 {
		strong.kill()
		strong = f.startWithCores("strong", 4)
		until := time.Now().Add(6 * time.Second)
		for strong.manager() == nil && weak.manager() == nil && time.Now().Before(until) {
			time.Sleep(time.Millisecond)
		}
		if weak.manager() != nil {
			break
		}
	}
	if weak.manager() == nil {
		t.Fatal("the healthy entry never owned the pools")
	}
	f.submit(weak, "00000000000000aa", "1", job.Step{Count: 1, CPU: 1000})
	f.await(weak, "00000000000000aa", job.Completed, 10*time.Second)
}

// TestRestartedEntryClaimsAtOnce guards against an entry that yields although its processes have not ended
// repeatedly: after a term that was stable, after one restart, or when the clock has jumped.
func TestRestartedEntryClaimsAtOnce(t *testing.T) {
	now := time.Now()
	stable, fresh, jumped := now.Add(-time.Second).UnixMilli(), now.Add(stableAfter/2).UnixMilli(), now.Add(2*stableAfter).UnixMilli()
	for _, c := range []struct {
		name     string
		owner    ownerRecord
		may      bool
		reclaims int
	}{
		{"a record of an earlier release", ownerRecord{Name: "a", Process: 1}, true, 0},
		{"a stable term", ownerRecord{Name: "a", Process: 1, StableAt: stable, Reclaims: 5}, true, 0},
		{"the first end", ownerRecord{Name: "a", Process: 1, StableAt: fresh}, true, 1},
		{"the second end", ownerRecord{Name: "a", Process: 1, StableAt: fresh, Reclaims: 1}, false, 2},
		{"a clock that has jumped", ownerRecord{Name: "a", Process: 1, StableAt: jumped, Reclaims: 1}, true, 0},
		{"another entry", ownerRecord{Name: "b", Process: 1, StableAt: fresh, Reclaims: 1}, false, 0},
	} {
		o := &ownership{self: ownerRecord{Name: "a", Process: 2}, owner: c.owner, revision: 5, keyRead: true}
		o.yields = o.isPredecessor(&c.owner) && c.owner.endsRepeatedly(now)
		if _, may := o.claimable(); may != c.may {
			t.Errorf("%s: may claim %v, want %v", c.name, may, c.may)
		}
		if r := o.nextRecord(5, now); r.Reclaims != c.reclaims || !r.unstable(now) {
			t.Errorf("%s: next record %+v, want %d reclaims", c.name, r, c.reclaims)
		}
	}
}
