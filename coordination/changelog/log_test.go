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
func capChange(n int) fleet.Change { return input{setCap, n}.change(fmt.Sprint("cap-", n)) }

func newLog(m *memory) *Log {
	return &Log{Store: newLink(m, faults{}, 1, 1), SnapshotEvery: 4, Margin: 1}
}

func propose(t *testing.T, l *Log, c fleet.Change) fleet.Fate {
	t.Helper()
	f, err := l.Propose(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// latecomer holds up its first write to a record, which is sent again after.
type latecomer struct {
	platform.Store
	release chan struct{}
	held    bool
}

func (s *latecomer) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (bool, error) {
	if strings.HasPrefix(key, recordPrefix) && !s.held {
		s.held = true
		<-s.release
		return false, platform.ErrUnavailable
	}
	return s.Store.CompareAndSwap(ctx, key, expected, value)
}

// Guards against a proposer that writes again at an index whose record was
// removed, and takes the new record for one that counts; and against a reader
// that starts from it.
func TestSlowProposerAfterRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		fast, slow, behind := newLog(m), newLog(m), newLog(m)
		propose(t, fast, capChange(1))
		for _, l := range []*Log{slow, behind} {
			if err := l.Load(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		late := &latecomer{Store: slow.Store, release: make(chan struct{})}
		slow.Store = late
		done := make(chan fleet.Fate)
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
		close(late.release)
		if f := <-done; f.Refusal != "" || f.Index != 22 {
			t.Errorf("fate %+v, not at index 22", f)
		}
		if e, _, _ := m.list(recordKey(2)); len(e) != 1 {
			t.Fatal("record 2 was not written again, so the test shows nothing")
		}
		if err := behind.CatchUp(t.Context()); err != nil || behind.Version() != 22 || behind.State().Members["kradan"].Cap != 99 {
			t.Errorf("a reader that was behind has version %d, cap %d, error %v", behind.Version(), behind.State().Members["kradan"].Cap, err)
		}
	})
}

// Guards against an open outcome that is reported as an answer, against a retry
// that is applied again, and against an answer that needs the service although
// a peer has told it.
func TestUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		l, other, broken := newLog(m), newLog(m), newLink(m, faults{lostAnswer: 1}, 1, 2)
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
			t.Errorf("retry at another entry: fate %+v, version %d", f, other.Version())
		}
		told := make(chan fleet.Fate)
		go func() { told <- propose(t, l, capChange(2)) }()
		time.Sleep(time.Second)
		records, kept := other.Since(1, 10)
		if _, err = l.Accept(records); err != nil || !kept {
			t.Fatalf("records kept %v, error %v", kept, err)
		}
		if f := <-told; f.Index != 2 {
			t.Errorf("fate %+v", f)
		}
	})
}

// Guards against a change that is proposed again when its first fate may have
// been forgotten.
func TestForgottenFate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog(newMemory())
		propose(t, l, capChange(1))
		l.Store = newLink(newMemory(), faults{lostRequest: 1}, 1, 2)
		far := fleet.State{Version: 2}
		for n := range fleet.KeptFates {
			far.Version++
			far.Fates = append(far.Fates, fleet.Fate{ID: fmt.Sprint("other-", n), Index: far.Version})
		}
		failed := make(chan error)
		go func() {
			_, err := l.Propose(t.Context(), capChange(2))
			failed <- err
		}()
		time.Sleep(time.Second)
		l.Adopt(&far)
		if err := <-failed; !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("error %v", err)
		}
	})
}

// Guards against a version that goes back, a gap in the log that is passed over,
// and a relay that leaves records out.
func TestRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, peer := newLog(newMemory()), &Log{}
		for n := range keptRecords + 5 {
			propose(t, l, capChange(n))
		}
		if _, kept := l.Since(4, 10); kept {
			t.Error("records that are no longer kept were returned")
		}
		if r, kept := l.Since(l.Version(), 10); !kept || len(r) != 0 {
			t.Errorf("records after the last one: %v, kept %v", r, kept)
		}
		r, kept := l.Since(5, 10)
		if !kept || len(r) != 10 || r[0].Index != 6 {
			t.Fatalf("%d records, kept %v", len(r), kept)
		}
		if _, err := peer.Accept(r); !errors.Is(err, errGap) || peer.Version() != 0 {
			t.Errorf("records with a gap give version %d, error %v", peer.Version(), err)
		}
		if !peer.Adopt(l.State()) || peer.Adopt(&fleet.State{Version: 3}) {
			t.Error("an older state was put in force, or a newer one was not")
		}
		if advanced, err := peer.Accept(r); advanced || err != nil || peer.Version() != l.Version() {
			t.Errorf("old records: advanced %v, version %d, error %v", advanced, peer.Version(), err)
		}
	})
}

// Guards against values in the service that stop an entry with a panic, that it
// skips, or that change its state in part.
func TestCorruptValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		valid, _ := encodeChange(capChange(1))
		for key, values := range map[string][]string{
			recordKey(2):             {"", "{", "null", `{"id":"a"}`, `{"id":"a","commands":[{}]}`, `{"id":"a","commands":[{"grow":{}}]}`, string(valid) + "{}", "\xff"},
			recordKey(2)[:34] + "x2": {string(valid)},
			floorKey:                 {"", "{", `{"floor":-1}{}`, `{"floor":7}`},
		} {
			for _, v := range values {
				m := newMemory()
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
			m := newMemory()
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

// Guards against a fleet of the designed size whose snapshot is too large for a
// value of the service, and against a snapshot that is not the state.
func TestSnapshotSize(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	s := fleet.State{Version: 3e6, Instances: map[string]fleet.Instance{}, Members: map[string]fleet.Member{}}
	for n := range 24000 {
		i := fleet.Instance{
			Name: fmt.Sprintf("worker-%05d", n), DataCentre: fmt.Sprintf("region-%d.dc-%d", n%5, n%15), Rack: fmt.Sprint("rack-", n/4),
			Address: fmt.Sprintf("10.%d.%d.%d:7070", random.IntN(256), random.IntN(256), random.IntN(256)),
			Slots:   8, Pool: fmt.Sprint("pool-", random.IntN(158)), Phase: fleet.Serving,
			Maintained: fmt.Sprint("wave-", random.IntN(158)), Since: random.Int64N(3e6),
		}
		s.Instances[i.Name] = i
	}
	for n := range 1100 {
		name := fmt.Sprint("team-", n)
		s.Members[name] = fleet.Member{Name: name, Cap: random.IntN(900), Share: random.IntN(9), Minimum: random.IntN(90)}
	}
	for n := range fleet.KeptFates {
		s.Fates = append(s.Fates, fleet.Fate{
			ID: fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64()), Index: int64(n),
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
