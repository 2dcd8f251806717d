package changelog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/platform"
)

// capChange sets the cap of a member to n.
func capChange(n int) fleet.Change { return operationInput{setCap, n}.change(fmt.Sprint("cap-", n)) }

func newLog(m *memoryStore) *Log {
	return &Log{Store: newFaultyStore(m, faults{}, 1, 1), SnapshotEvery: 4, RecordMargin: 1}
}

func propose(t *testing.T, l *Log, c fleet.Change) fleet.ChangeResult {
	t.Helper()
	f, err := l.Propose(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// delayedStore blocks its first write of a record until release is closed and then
// returns an error, so that the write is repeated.
type delayedStore struct {
	platform.Store
	release chan struct{}
	held    bool
}

func (s *delayedStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (bool, error) {
	if strings.HasPrefix(key, recordPrefix) && !s.held {
		s.held = true
		<-s.release
		return false, platform.ErrUnavailable
	}
	return s.Store.CompareAndSwap(ctx, key, expected, value)
}

// Guards against a proposer that repeats a write at an index whose record was
// removed and treats the new record as part of the log, and against a reader that
// applies it.
func TestSlowProposerAfterRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		fast, slow, behind := newLog(m), newLog(m), newLog(m)
		propose(t, fast, capChange(1))
		for _, l := range []*Log{slow, behind} {
			if err := l.Load(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		delayed := &delayedStore{Store: slow.Store, release: make(chan struct{})}
		slow.Store = delayed
		done := make(chan fleet.ChangeResult)
		go func() { done <- propose(t, slow, capChange(99)) }()
		synctest.Wait()
		for n := range 20 {
			propose(t, fast, capChange(2+n))
			if _, err := fast.Compact(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if e, _, _ := m.list(recordKey(2)); len(e) != 0 {
			t.Fatal("record 2 was not removed, so the test shows nothing")
		}
		close(delayed.release)
		if f := <-done; f.Refusal != "" || f.Index != 22 {
			t.Errorf("result %+v, not at index 22", f)
		}
		if e, _, _ := m.list(recordKey(2)); len(e) != 1 {
			t.Fatal("record 2 was not written again, so the test shows nothing")
		}
		if err := behind.CatchUp(t.Context()); err != nil || behind.Version() != 22 || behind.State().Members["kradan"].Cap != 99 {
			t.Errorf("a reader that was behind has version %d, cap %d, error %v", behind.Version(), behind.State().Members["kradan"].Cap, err)
		}
	})
}

// Guards against an unknown outcome that is reported as a result, against a retry
// that is applied again, and against a proposer that waits for the service although
// a peer has relayed the record.
func TestUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		l, other, broken := newLog(m), newLog(m), newFaultyStore(m, faults{lostResponse: 1}, 1, 2)
		propose(t, l, capChange(1))
		l.Store = broken
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := l.Propose(ctx, capChange(2))
		if !errors.Is(err, ErrOutcomeUnknown) || !strings.Contains(err.Error(), `"cap-2"`) {
			t.Fatalf("error %v", err)
		}
		if _, err = l.Propose(ctx, capChange(3)); err == nil || errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("a change that was not written gives error %v", err)
		}
		if f := propose(t, other, capChange(2)); f.Index != 2 || other.Version() != 2 {
			t.Errorf("retry at another entry: result %+v, version %d", f, other.Version())
		}
		answered := make(chan fleet.ChangeResult)
		go func() { answered <- propose(t, l, capChange(2)) }()
		time.Sleep(time.Second)
		records, kept := other.RecordsSince(1, 10)
		if _, err = l.ApplyRecords(records); err != nil || !kept {
			t.Fatalf("records kept %v, error %v", kept, err)
		}
		if f := <-answered; f.Index != 2 {
			t.Errorf("result %+v", f)
		}
	})
}

// Guards against a change that is proposed again when its first result may no
// longer be kept.
func TestResultNoLongerKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog(newMemoryStore())
		propose(t, l, capChange(1))
		l.Store = newFaultyStore(newMemoryStore(), faults{lostRequest: 1}, 1, 2)
		far := fleet.State{Version: 2}
		for n := range fleet.MaxChangeResults {
			far.Version++
			far.Results = append(far.Results, fleet.ChangeResult{ID: fmt.Sprint("other-", n), Index: far.Version})
		}
		failed := make(chan error)
		go func() {
			_, err := l.Propose(t.Context(), capChange(2))
			failed <- err
		}()
		time.Sleep(time.Second)
		l.AdoptState(&far)
		if err := <-failed; !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("error %v", err)
		}
	})
}

// Guards against a version that decreases, a gap in the log that is skipped, and a
// relay that omits records.
func TestRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, peer := newLog(newMemoryStore()), &Log{}
		for n := range maxRecentRecords + 5 {
			propose(t, l, capChange(n))
		}
		if _, kept := l.RecordsSince(4, 10); kept {
			t.Error("records that are no longer kept were returned")
		}
		if r, kept := l.RecordsSince(l.Version(), 10); !kept || len(r) != 0 {
			t.Errorf("records after the last one: %v, kept %v", r, kept)
		}
		r, kept := l.RecordsSince(5, 10)
		if !kept || len(r) != 10 || r[0].Index != 6 {
			t.Fatalf("%d records, kept %v", len(r), kept)
		}
		if _, err := peer.ApplyRecords(r); !errors.Is(err, errGap) || peer.Version() != 0 {
			t.Errorf("records with a gap give version %d, error %v", peer.Version(), err)
		}
		if !peer.AdoptState(l.State()) || peer.AdoptState(&fleet.State{Version: 3}) {
			t.Error("an older state was put in force, or a newer one was not")
		}
		if advanced, err := peer.ApplyRecords(r); advanced || err != nil || peer.Version() != l.Version() {
			t.Errorf("old records: advanced %v, version %d, error %v", advanced, peer.Version(), err)
		}
	})
}

// Guards against corrupt values in the service that cause a panic, are skipped, or
// are applied in part.
func TestCorruptValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		valid, _ := encodeChange(capChange(1))
		for key, values := range map[string][]string{
			recordKey(2):             {"", "{", "null", `{"id":"a"}`, `{"id":"a","commands":[{}]}`, `{"id":"a","commands":[{"grow":{}}]}`, string(valid) + "{}", "\xff"},
			recordKey(2)[:34] + "x2": {string(valid)},
			floorKey:                 {"", "{", `{"floor":-1}{}`, `{"floor":7}`},
		} {
			for _, v := range values {
				m := newMemoryStore()
				l := newLog(m)
				propose(t, l, capChange(1))
				m.swap(key, 0, []byte(v), false)
				if err := l.CatchUp(t.Context()); !errors.Is(err, ErrCorrupt) || l.Version() != 1 {
					t.Errorf("%s = %q: version %d, error %v", key, v, l.Version(), err)
				}
				if _, err := l.Propose(t.Context(), capChange(2)); !errors.Is(err, ErrCorrupt) {
					t.Errorf("%s = %q: propose gives error %v", key, v, err)
				}
			}
		}
		for _, v := range []string{"", "\x1f\x8b", "{}"} {
			m := newMemoryStore()
			m.swap(snapshotKey, 0, []byte(v), false)
			if err := newLog(m).Load(t.Context()); !errors.Is(err, ErrCorrupt) {
				t.Errorf("snapshot %q: error %v", v, err)
			}
		}
	})
}

// FuzzDecode guards against values that make decoding panic.
func FuzzDecode(f *testing.F) {
	change, _ := encodeChange(capChange(1))
	state, _ := encodeState(&fleet.State{Version: 1})
	f.Add(change)
	f.Add(state)
	f.Fuzz(func(_ *testing.T, value []byte) {
		_, _ = Record{Index: 1, Value: value}.Change()
		_, _ = decodeState(value)
		_, _ = decodeFloor(value)
	})
}

// Guards against a snapshot that exceeds the maximum size of a value for a fleet of
// the design size, and against one that does not decode to the same state.
func TestSnapshotSize(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := fleet.State{Version: 3e6, Instances: map[string]fleet.Instance{}, Members: map[string]fleet.Member{}}
	for n := range 24000 {
		i := fleet.Instance{
			Name: fmt.Sprintf("worker-%05d", n), DataCentre: fmt.Sprintf("region-%d.dc-%d", n%5, n%15), Rack: fmt.Sprint("rack-", n/4),
			Address: fmt.Sprintf("10.%d.%d.%d:7070", rng.IntN(256), rng.IntN(256), rng.IntN(256)),
			Slots:   8, Pool: fmt.Sprint("pool-", rng.IntN(158)), Phase: fleet.Serving,
			CompletedWave: fmt.Sprint("wave-", rng.IntN(158)), PhaseVersion: rng.Int64N(3e6),
		}
		s.Instances[i.Name] = i
	}
	for n := range 1100 {
		name := fmt.Sprint("team-", n)
		s.Members[name] = fleet.Member{Name: name, Cap: rng.IntN(900), Share: rng.IntN(9), Minimum: rng.IntN(90)}
	}
	for n := range fleet.MaxChangeResults {
		s.Results = append(s.Results, fleet.ChangeResult{
			ID: fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64()), Index: int64(n),
			Refusal: strings.Repeat("x", n%10*10),
		})
	}
	value, err := encodeState(&s)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("snapshot of 24,000 instances: %d bytes", len(value))
	read, err := decodeState(value)
	if err != nil || read.Version != s.Version || len(read.Instances) != 24000 || read.Instances["worker-00077"] != s.Instances["worker-00077"] {
		t.Errorf("read back version %d with %d instances, error %v", read.Version, len(read.Instances), err)
	}
}
