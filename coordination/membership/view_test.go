package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a late observation of an earlier incarnation that replaces the
// state of a restarted entry or extends its lifetime.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	var v View
	v.Observe(Entry{Name: "a", Incarnation: 2, Address: "new", AliveUntil: start.Add(time.Second)}, start)
	v.Observe(Entry{Name: "a", Incarnation: 1, Address: "old", AliveUntil: start.Add(time.Hour)}, start)
	if e, _ := v.Find("a"); e.Address != "new" || e.Alive(start.Add(time.Minute)) {
		t.Errorf("entry is %+v", e)
	}
}

// Guards against duties that are reassigned needlessly: adding or removing an entry
// may only move duties to or from that entry.
func TestRendezvousMovesOnlyTheDutiesOfTheChangedEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var v View
		count := rapid.IntRange(1, 8).Draw(t, "entries")
		for i := range count {
			v.Observe(Entry{Name: fmt.Sprintf("e%d", i), DataCentre: "a", AliveUntil: start.Add(time.Second)}, start)
		}
		duty := rapid.StringN(0, 20, -1).Draw(t, "duty")
		before, _ := v.Owner("a", duty, start)
		v.Observe(Entry{Name: "new", DataCentre: "a", AliveUntil: start.Add(time.Second)}, start)
		after, _ := v.Owner("a", duty, start)
		if after.Name != before.Name && after.Name != "new" {
			t.Fatalf("duty moved from %s to %s", before.Name, after.Name)
		}
	})
}

// Guards against duties assigned to a leaving entry while another one stays, and
// against unassigned duties when all entries are leaving.
func TestLeavingEntryOwnsNothingWhileAnotherStays(t *testing.T) {
	var v View
	until := start.Add(time.Second)
	v.Observe(Entry{Name: "a", DataCentre: "x", AliveUntil: until, Leaving: true}, start)
	if owner, found := v.Owner("x", "d", start); !found || owner.Name != "a" {
		t.Errorf("only entry is leaving: owner %q found %t", owner.Name, found)
	}
	v.Observe(Entry{Name: "b", DataCentre: "x", AliveUntil: until}, start)
	for i := range 20 {
		if owner, _ := v.Owner("x", fmt.Sprint(i), start); owner.Name != "b" {
			t.Errorf("duty %d belongs to %s", i, owner.Name)
		}
	}
}
