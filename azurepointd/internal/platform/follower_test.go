package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/changelog"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/platform"
)

// inForceWithin is the bound of P8 in the design.
const inForceWithin = 13 * time.Second

// reader returns the entry of the data centre that reads the log.
func (w *world) reader(dataCentre string) (reader *entry) {
	for _, e := range w.entries {
		if e.info.DataCentre == dataCentre && e.follower.owns() {
			reader = e
		}
	}
	return reader
}

// cut changes the paths of all entries of a data centre.
func (w *world) cut(dataCentre string, store, peer trouble) {
	for _, e := range w.entries {
		if e.info.DataCentre == dataCentre {
			e.set(store, peer)
		}
	}
}

// Guards P8: a change that is in force later than 13 s at an entry that can be
// reached by some path, under each fault of the paths. The proposer is no entry,
// so that the change is known from the log alone. With the seeds 32 and 72 a
// reader whose peers waited on after its last answer from the service was too
// late; SEEDS adds the seeds from 1 on.
func TestInForceEverywhere(t *testing.T) {
	seeds := []uint64{32, 72}
	more, _ := strconv.ParseUint(os.Getenv("SEEDS"), 10, 64)
	for s := range more {
		seeds = append(seeds, s+1)
	}
	for name, c := range map[string]struct {
		dataCentres string
		fault       func(w *world, reader *entry)
	}{
		"no fault":                             {"a", func(*world, *entry) {}},
		"reader gives no answer":               {"a", func(_ *world, r *entry) { r.set(none, hanging) }},
		"reader refuses connections":           {"a", func(_ *world, r *entry) { r.set(none, broken) }},
		"reader cut off from the service":      {"a", func(_ *world, r *entry) { r.set(broken, none) }},
		"reader's calls on the service hang":   {"a", func(_ *world, r *entry) { r.set(hanging, none) }},
		"reader cut off from all":              {"a", func(_ *world, r *entry) { r.set(broken, broken) }},
		"data centre cut off from the service": {"ab", func(w *world, _ *entry) { w.cut("a", broken, none) }},
		"calls of a data centre hang":          {"ab", func(w *world, _ *entry) { w.cut("a", hanging, none) }},
	} {
		t.Run(name, func(t *testing.T) {
			for _, s := range seeds {
				synctest.Test(t, func(t *testing.T) {
					t.Logf("seed %d: latest in force everywhere after %v", s, latestInForce(t, s, c.dataCentres, c.fault))
				})
			}
		})
	}
}

// latestInForce has the fault come and go 60 times, each with a change, and
// returns the longest time until one was in force everywhere.
func latestInForce(t *testing.T, seed uint64, dataCentres string, fault func(*world, *entry)) (latest time.Duration) {
	t.Helper()
	w := newWorld()
	defer w.stopAll()
	for n := range 4 {
		for _, dc := range dataCentres {
			w.start(t, string(dc), n, none)
		}
	}
	outsider := &Follower{Log: changelog.Log{Store: &entry{world: w}}}
	random := rand.New(rand.NewPCG(seed, 0))
	for n := range 60 {
		time.Sleep(11*time.Second + time.Duration(random.Int64N(int64(9*time.Second))))
		fault(w, w.reader("a"))
		time.Sleep(time.Duration(random.Int64N(int64(8 * time.Second))))
		latest = max(latest, w.expectInForce(t, propose(t, outsider, fmt.Sprint("c", n))))
		for _, e := range w.entries {
			e.set(none, none)
		}
	}
	return latest
}

// expectInForce waits until the version is in force at all entries, and returns
// how long it took.
func (w *world) expectInForce(t *testing.T, version int64) (took time.Duration) {
	t.Helper()
	proposed := time.Now()
	for _, e := range w.entries {
		for e.follower.Version() < version {
			time.Sleep(50 * time.Millisecond)
			if d := time.Since(proposed); d > inForceWithin {
				t.Fatalf("change %d is not in force at %s after %v", version, e.info.Name, d)
			}
		}
	}
	return time.Since(proposed)
}

// callsFor counts the calls on the service in ten minutes with 20 changes,
// without those of the watch of the instance list.
func callsFor(t *testing.T, entries int, alone bool) (calls int) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.stopAll()
		for n := range entries {
			e := w.start(t, "a", n, none)
			if alone {
				// An entry whose peers don't answer reads the log itself.
				e.set(none, broken)
			}
		}
		time.Sleep(time.Minute)
		before := w.called()
		for n := range 20 {
			time.Sleep(30 * time.Second)
			propose(t, w.entries["a-e0"].follower, fmt.Sprint("c", n))
		}
		calls = w.called() - before - entries*int(10*time.Minute/listWait)
	})
	return calls
}

// Guards against calls on the service that grow with the entries of a data
// centre. Entries that read the log themselves must fail the check.
func TestCallsGrowWithDataCentres(t *testing.T) {
	few, many, alone := callsFor(t, 3, false), callsFor(t, 8, false), callsFor(t, 8, true)
	t.Logf("calls in ten minutes: %d of 3 entries, %d of 8, %d of 8 that read the log themselves", few, many, alone)
	grown := func(n int) bool { return n > few+few/5 }
	if grown(many) || !grown(alone) {
		t.Errorf("%d calls of 3 entries, %d of 8 and %d of 8 that read the log themselves", few, many, alone)
	}
}

// Guards against an entry without a configuration while the service is down, and
// against requests that lose the one in force.
func TestStartsFromPeerWhileServiceIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.stopAll()
		b := w.start(t, "b", 0, none)
		last := int64(0)
		for n := range 1100 {
			last = propose(t, b.follower, fmt.Sprint("c", n))
		}
		b.set(broken, none)
		time.Sleep(10 * time.Minute)
		e := w.start(t, "a", 0, broken)
		time.Sleep(5 * time.Second)
		if e.follower.Version() != last || b.follower.Version() != last {
			t.Errorf("versions %d and %d, not %d", e.follower.Version(), b.follower.Version(), last)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := e.follower.Propose(ctx, fleet.Change{ID: "down", Commands: []fleet.Command{{MarkAlive: &fleet.MarkAlive{}}}}); !errors.Is(err, changelog.ErrOutcomeUnknown) {
			t.Errorf("a change while the service is down gives error %v", err)
		}
		var dump bytes.Buffer
		e.follower.Dump(&dump)
		if !strings.Contains(dump.String(), "storeAnswers=false") || !strings.Contains(dump.String(), "pool cover: budget=5") {
			t.Errorf("dump:\n%s", dump.String())
		}
	})
}

// copied is an entry's copy of the configuration, as far as its version goes.
type copied interface {
	Version() int64
	take(asked int64, reply *peerrpc.ChangesReply) error
}

// latest is an unprotected copy, which has what the last answer says.
type latest struct{ version int64 }

func (c *latest) Version() int64 { return c.version }

func (c *latest) take(asked int64, reply *peerrpc.ChangesReply) error {
	c.version = asked + int64(len(reply.GetRecords()))
	return nil
}

// falls lets one entry take answers of a peer out of order, and tells whether
// its version fell.
func falls(t *testing.T, seed uint64, c copied) (fell bool) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.stopAll()
		source := w.start(t, "b", 0, none)
		random := rand.New(rand.NewPCG(seed, 0))
		var taking sync.Mutex
		for n := range 30 {
			propose(t, source.follower, fmt.Sprint("c", n))
			taking.Lock()
			asked := c.Version()
			taking.Unlock()
			reply, err := source.follower.Changes(t.Context(), &peerrpc.ChangesRequest{AfterVersion: asked})
			if err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(time.Duration(random.Int64N(int64(5*time.Second))), func() {
				taking.Lock()
				defer taking.Unlock()
				before := c.Version()
				if err := c.take(asked, reply); err != nil {
					t.Errorf("answer after version %d: %v", asked, err)
				}
				fell = fell || c.Version() < before
			})
			time.Sleep(time.Second)
		}
		time.Sleep(10 * time.Second)
		taking.Lock()
		defer taking.Unlock()
		if c.Version() == 0 {
			t.Error("no answer was taken")
		}
	})
	return fell
}

// Guards against a version that goes back when answers of peers arrive out of
// order (seeds 1 to 10). A copy that takes the last answer must fail the check.
func TestVersionsOnlyRise(t *testing.T) {
	caught := 0
	for seed := range uint64(10) {
		if falls(t, seed+1, &Follower{}) {
			t.Errorf("seed %d: the version fell", seed+1)
		}
		if falls(t, seed+1, &latest{}) {
			caught++
		}
	}
	if caught == 0 {
		t.Error("a copy that takes the last answer was not noticed")
	}
}

// Guards P6: an instance that gets work later than 5 s after the list shows it
// as leaving, or again because it has vanished from the list or the list is out.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.stopAll()
		e := w.start(t, "a", 0, none)
		propose(t, e.follower, "w", fleet.Command{SetPool: &fleet.SetPool{Name: "cover"}}, fleet.Command{AddInstance: &fleet.AddInstance{
			Name: "w1", DataCentre: "a", Rack: "r", Address: "10.0.0.1:1", Slots: 1, Pool: "cover",
		}})
		check := func(what string, want bool) {
			t.Helper()
			time.Sleep(4900 * time.Millisecond)
			if e.follower.Leaving("w1") != want {
				t.Errorf("%s: leaving is %v", what, !want)
			}
		}
		w.show(platform.Listing{Name: "w1"})
		check("live", false)
		w.show(platform.Listing{Name: "w1"}, platform.Listing{Name: "w2"})
		w.show(platform.Listing{Name: "w1", Leaving: true})
		check("leaving", true)
		e.set(broken, none)
		check("leaving, and the list is out", true)
		e.set(none, none)
		w.show()
		check("gone from the list", true)
		w.show(platform.Listing{Name: "w1"})
		check("back", false)
		w.show()
		check("never seen leaving", false)
	})
}
