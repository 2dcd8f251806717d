package share

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

func newQueue(endpoints int) (q *Queue) {
	q = &Queue{ClockError: 250 * time.Millisecond}
	for i := range endpoints {
		q.SetEndpoint(Endpoint{Name: fmt.Sprintf("e%d", i), Slots: 8})
	}
	return q
}

func request(id, member string, u Urgency) Request {
	return Request{ID: id, Member: member, Urgency: u, Run: time.Second, Deadline: start.Add(time.Hour)}
}

// pushAll pushes n requests of a member and fails if one is refused.
func pushAll(t *testing.T, q *Queue, n int, r Request, now time.Time) {
	t.Helper()
	for i := range n {
		r.ID = fmt.Sprintf("%s-%s-%s-%d", r.Group, r.Member, r.Urgency, i)
		if refused := q.Push(r, now); len(refused) > 0 {
			t.Fatalf("request %d of %s refused: %v", i, r.Member, refused[0])
		}
	}
}

// replaceOldest releases the oldest grant and calls Decide, n times.
func replaceOldest(q *Queue, grants []Grant, n int) []Grant {
	now := start
	for range n {
		now = now.Add(10 * time.Millisecond)
		q.Release(grants[0].Request.ID)
		issued, _ := q.Decide(now)
		grants = append(grants[1:], issued...)
	}
	return grants
}

func slotsInUse(grants []Grant, key func(Grant) string, value string) (slots int) {
	for _, g := range grants {
		if key(g) == value {
			slots += g.Request.slots()
		}
	}
	return slots
}

func byMember(g Grant) string  { return g.Request.Member }
func byUrgency(g Grant) string { return g.Request.Urgency.String() }
func byGroup(g Grant) string   { return g.Request.Group }

// Guards against a member that gets more slots by queueing more requests: the
// weights divide the slots, and a minimum holds although the weight gives less.
func TestSharesFollowWeightsAndMinima(t *testing.T) {
	q := newQueue(4)
	q.SetMember(Member{Name: "heavy", Weight: 5})
	q.SetMember(Member{Name: "light", Weight: 1})
	q.SetMember(Member{Name: "floor", Weight: 1, Minimum: 14})
	q.SetMember(Member{Name: "small", Weight: 1})
	for _, m := range []string{"heavy", "light", "floor"} {
		pushAll(t, q, 200, request("", m, Batch), start)
	}
	pushAll(t, q, 2, request("", "small", Batch), start)
	grants, _ := q.Decide(start)
	got := make([]int, 0, 4)
	for _, m := range []string{"heavy", "light", "floor", "small"} {
		got = append(got, slotsInUse(grants, byMember, m))
	}
	// 32 slots: 14 for floor, 2 for small, and 16 by 5:1 for the others.
	if want := []int{13, 3, 14, 2}; !slices.Equal(got, want) {
		t.Errorf("slots in use %v, want %v", got, want)
	}
}

// Guards against strict priority: a flood of urgent requests must leave the
// other classes and the other members their shares.
// TestUrgentGoesAheadOfItsTurn checks that urgent requests still go first
// without a flood.
func TestUrgentFloodLeavesOthersTheirShares(t *testing.T) {
	q := newQueue(4)
	q.WaitLimits.Urgent = time.Hour
	pushAll(t, q, 400, request("", "a", Urgent), start)
	pushAll(t, q, 400, request("", "a", Batch), start)
	pushAll(t, q, 400, request("", "b", Batch), start)
	grants, _ := q.Decide(start)
	grants = replaceOldest(q, grants, 200)
	if got := slotsInUse(grants, byMember, "b"); got < 12 {
		t.Errorf("member b has %d of 32 slots, want at least 12: three quarters of its half", got)
	}
	if got := slotsInUse(grants, byUrgency, "batch") - slotsInUse(grants, byMember, "b"); got < 2 {
		t.Errorf("batch requests of the flooding member have %d slots, want at least 2", got)
	}
}

// Guards against max-min alone: an urgent request of a member that already has
// more than its share must not wait for its fair turn.
func TestUrgentGoesAheadOfItsTurn(t *testing.T) {
	q := newQueue(2)
	pushAll(t, q, 15, request("", "a", Batch), start)
	q.Decide(start)
	pushAll(t, q, 50, request("", "b", Batch), start)
	pushAll(t, q, 1, request("", "a", Urgent), start)
	grants, _ := q.Decide(start)
	if len(grants) != 1 || grants[0].Request.Urgency != Urgent || !grants[0].Ahead {
		t.Errorf("the free slot went to %+v, want the urgent request", grants)
	}
}

// Guards against the overflow of one pool taking all slots of the spare pool.
func TestGroupsShareBeforeMembers(t *testing.T) {
	q := newQueue(4)
	for _, m := range []string{"a", "b", "c"} {
		r := request("", m, Batch)
		r.Group = "payroll"
		pushAll(t, q, 200, r, start)
	}
	r := request("", "a", Batch)
	r.Group = "rota"
	pushAll(t, q, 200, r, start)
	grants, _ := q.Decide(start)
	if got := slotsInUse(grants, byGroup, "rota"); got != 16 {
		t.Errorf("group rota has %d of 32 slots, want 16", got)
	}
}

// Guards against queueing requests that cannot be served in time or at all;
// each has to be refused on arrival, with the figures of the decision.
func TestRefusedOnArrival(t *testing.T) {
	q := newQueue(1)
	pushAll(t, q, 8, request("", "a", Normal), start)
	q.Decide(start)
	large := request("large", "a", Normal)
	large.Slots = 9
	avoiding := request("avoiding", "a", Normal)
	avoiding.Avoid = []string{"e0"}
	late := request("late", "a", Normal)
	late.Deadline = start
	short := request("short", "a", Normal)
	short.Deadline = start.Add(1050 * time.Millisecond)
	for _, x := range []struct {
		request Request
		reason  Reason
		text    string
	}{
		{large, TooLarge, "the largest endpoint has 8"},
		{avoiding, NoEndpoint, "1 endpoints to avoid"},
		{late, DeadlinePassed, "deadlinePassed"},
		{short, WaitTooLong, "estimated wait 125ms, allowed 50ms"},
		{request("-a-normal-0", "a", Normal), Duplicate, "duplicate"},
	} {
		refused := q.Push(x.request, start)
		if len(refused) != 1 || refused[0].Reason != x.reason || !strings.Contains(refused[0].String(), x.text) {
			t.Errorf("request %q: got %v, want %s with %q", x.request.ID, refused, x.reason, x.text)
		}
	}
	accepted := 0
	for i := range 100 {
		if len(q.Push(request(fmt.Sprintf("u%d", i), "b", Urgent), start)) == 0 {
			accepted++
		}
	}
	// Member b gets 4 of 8 slots, which take 12 requests of 1 s in 3 s.
	if accepted < 10 || accepted > 24 {
		t.Errorf("%d urgent requests accepted, want about 12 to 24", accepted)
	}
}

// Guards against requests that wait for lost endpoints: a queued request is
// refused as soon as the capacity is lost that it was admitted for.
func TestLostEndpointsShedQueuedRequests(t *testing.T) {
	q := newQueue(4)
	pushAll(t, q, 32, request("", "a", Normal), start)
	q.Decide(start)
	for i := range 800 {
		q.Push(request(fmt.Sprintf("r%d", i), "a", Normal), start)
	}
	before := q.Totals().Queued
	for i := range 3 {
		q.SetEndpoint(Endpoint{Name: fmt.Sprintf("e%d", i), Slots: 8, Closed: true})
	}
	_, refused := q.Decide(start)
	// 8 slots serve 240 requests of 1 s within 30 s; recheckTolerance allows 300.
	if left := q.Totals().Queued; before != 800 || left > 300 || len(refused) != before-left {
		t.Errorf("%d of %d requests still queued after three quarters of the slots were lost", left, before)
	}
	for _, r := range refused {
		if r.Reason != WaitTooLong {
			t.Errorf("request %s refused with %v", r.Request.ID, r)
		}
	}
}

// Guards against small requests that starve a large one, and against a large
// request that blocks small ones.
func TestLargeRequestGetsAnEndpoint(t *testing.T) {
	q := newQueue(2)
	pushAll(t, q, 16, request("", "small", Normal), start)
	grants, _ := q.Decide(start)
	large := request("large", "big", Normal)
	large.Slots = 8
	q.Push(large, start)
	for i := range 200 {
		q.Push(request(fmt.Sprintf("s%d", i), "small", Normal), start)
	}
	now := start
	for steps := 0; ; steps++ {
		if steps > 40 {
			t.Fatal("the large request was not served while 40 small ones were")
		}
		now = now.Add(10 * time.Millisecond)
		q.Release(grants[0].Request.ID)
		issued, _ := q.Decide(now)
		grants = append(grants[1:], issued...)
		if _, granted := q.Granted("large"); granted {
			break
		}
		if free := q.FreeSlots(); free > 8 {
			t.Fatalf("%d slots idle while small requests wait", free)
		}
	}
}

// Guards against granting the last slots to tasks of unknown length.
func TestLongTasksLeaveSlotsForUrgentRequests(t *testing.T) {
	q := newQueue(2)
	unknown := request("", "a", Batch)
	unknown.Run = 0
	pushAll(t, q, 1, request("", "b", Urgent), start)
	grants, _ := q.Decide(start)
	q.Release(grants[0].Request.ID)
	pushAll(t, q, 30, unknown, start)
	grants, _ = q.Decide(start)
	if len(grants) != 14 {
		t.Errorf("%d of 16 slots granted to tasks of unknown length, want 14", len(grants))
	}
	later := start.Add(urgentReserveTime)
	if grants, _ = q.Decide(later); len(grants) != 2 {
		t.Errorf("%d more slots granted after urgentReserveTime without urgent requests, want 2", len(grants))
	}
}

// Guards against a member that fills the queue and so has the requests of
// others refused.
func TestFullQueueEvictsLargestMember(t *testing.T) {
	q := newQueue(1)
	q.SizeLimits.Requests = 20
	pushAll(t, q, 20, request("", "flood", Batch), start)
	refused := q.Push(request("late", "other", Batch), start)
	if len(refused) != 1 || refused[0].Request.Member != "flood" || refused[0].Reason != QueueFull {
		t.Errorf("got %v, want the newest request of flood refused", refused)
	}
	refused = q.Push(request("more", "flood", Batch), start)
	if len(refused) != 1 || refused[0].Request.ID != "more" {
		t.Errorf("got %v, want the new request of flood refused", refused)
	}
	q.SizeLimits.Bytes = 3 * requestOverheadBytes
	if refused = q.Push(request("big", "third", Batch), start); len(refused) != 19 {
		t.Errorf("%d requests refused for memory, want 19: 20 are queued and 2 fit", len(refused))
	}
}

// Guards against grants that outlive their lease, for example after the primary
// of the request failed.
func TestGrantsEndWithTheirLease(t *testing.T) {
	q := newQueue(1)
	r := request("r", "a", Normal)
	q.Push(r, start)
	grants, _ := q.Decide(start)
	if want := start.Add(11 * time.Second); !grants[0].Until.Equal(want) {
		t.Fatalf("lease ends at %v, want run time and 10 s: %v", grants[0].Until, want)
	}
	end := grants[0].Until.Add(q.ClockError)
	if ended := q.ExpireGrants(end.Add(-time.Millisecond)); len(ended) != 0 {
		t.Error("grant taken back before its end and the clock error")
	}
	if ended := q.ExpireGrants(end); len(ended) != 1 || q.FreeSlots() != 8 {
		t.Errorf("%d grants taken back, %d slots free", len(ended), q.FreeSlots())
	}
}

// Guards against placing overflow out of the order of the queue, or without
// regard to the size and the lease of the offer.
func TestOverflowPlacesFirstFittingRequest(t *testing.T) {
	q := newQueue(1)
	pushAll(t, q, 8, request("", "a", Normal), start)
	q.Decide(start)
	wide := request("wide", "a", Normal)
	wide.Slots = 2
	q.Push(wide, start)
	pushAll(t, q, 5, request("", "b", Normal), start)
	wishes := q.OverflowDemands(4, start)
	if len(wishes) != 2 || wishes[0].First.ID != "wide" || wishes[1].Count != 2 {
		t.Fatalf("wishes %+v, want the wide request and two of b", wishes)
	}
	offer := OverflowOffer{Member: "b", Urgency: Normal, Slots: 1, Endpoint: "s0", Until: start.Add(5 * time.Second)}
	g, placed := q.PlaceOverflow(offer, start)
	if !placed || g.Request.ID != "-b-normal-0" || !g.Until.Equal(offer.Until) || !g.Outside {
		t.Errorf("placed %+v", g)
	}
	offer.Until = start.Add(time.Millisecond)
	if _, placed = q.PlaceOverflow(offer, start); placed {
		t.Error("request placed under a lease shorter than its run time")
	}
	if q.Totals().OutsideInUse != 1 {
		t.Errorf("%d slots counted outside the pool, want 1", q.Totals().OutsideInUse)
	}
}
