package manager

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/store"
)

// limitedStore refuses values above a length for good.
type limitedStore struct {
	fakeStore
	limit int
	// hang, if set, makes the next transaction wait until its context ends, without an answer.
	hang bool
}

// Commit applies a transaction unless a value is too long.
func (s *limitedStore) Commit(ctx context.Context, t store.Transaction) (revision int64, err error) {
	if s.hang {
		s.hang = false
		<-ctx.Done()
		return 0, store.ErrNoAnswer
	}
	for _, p := range t.Puts {
		if len(p.Value) > s.limit {
			return 0, store.ErrInvalid
		}
	}
	return s.fakeStore.Commit(ctx, t)
}

// TestRefusedRecordIsKeptApart guards against a record that the store refuses for good and the records that share its
// transaction, which were repeated together without end: ends were no longer acknowledged, and new jobs not stored.
func TestRefusedRecordIsKeptApart(t *testing.T) {
	log.SetHandler(discard.Default)
	for _, frozen := range []bool{false, true} {
		s := &limitedStore{limit: 1000, hang: frozen}
		stored, refused := make(map[string]bool), make(map[string]int)
		rw := &recordWriter{
			store: s, owner: store.Condition{Key: OwnerKey}, creations: make(map[string]*creation),
			stored: func(writes []schedule.Write, _ int64) {
				for _, w := range writes {
					stored[w.Record.ID] = true
				}
			},
			refused: func(w schedule.Write, _ error) { refused[w.Record.ID]++ },
			created: func(r job.Record, _ bool) { stored[r.ID] = true },
		}
		var batch []*recordWrite
		for n := range writesPerCommit {
			w := &recordWrite{Write: schedule.Write{Record: job.Record{Job: job.Job{ID: fmt.Sprint(n)}}}, value: make([]byte, 100)}
			if n%7 == 3 {
				w.value = make([]byte, 1001)
			}
			if n >= 10 {
				w.creation = &creation{until: time.Now().Add(time.Minute), refuseAt: time.Now().Add(time.Minute), done: make(chan struct{})}
			}
			batch = append(batch, w)
		}
		remaining := rw.commit(t.Context(), batch)
		if frozen {
			if len(remaining) != len(batch) {
				t.Fatalf("%d writes are repeated after no answer, want %d", len(remaining), len(batch))
			}
			remaining = rw.commit(t.Context(), remaining)
		}
		if len(remaining) > 0 {
			t.Errorf("%d writes are repeated", len(remaining))
		}
		for n, w := range batch {
			id, tooLong := fmt.Sprint(n), n%7 == 3
			if stored[id] == tooLong || tooLong && w.creation == nil && refused[id] != 1 {
				t.Errorf("record %d (too long: %t): stored %t, refused %d times", n, tooLong, stored[id], refused[id])
			}
			if w.creation == nil {
				continue
			}
			want := Accepted
			switch {
			case tooLong && frozen:
				// The transaction without an answer may have stored it, for all that is known.
				want = Unsettled
			case tooLong:
				want = Refused
			}
			if w.creation.outcome != want {
				t.Errorf("new job %d: outcome %s, want %s", n, w.creation.outcome, want)
			}
		}
	}
}

// TestLongRecordsHaveTheirOwnTransactions guards against a transaction, or the answer that shows the records that it would
// have replaced, that is longer than the store or this entry takes.
func TestLongRecordsHaveTheirOwnTransactions(t *testing.T) {
	write := func(value, replaced int) *recordWrite {
		return &recordWrite{Write: schedule.Write{Record: job.Record{StoredBytes: replaced}}, value: make([]byte, value)}
	}
	for name, c := range map[string]struct {
		pending []*recordWrite
		want    int
	}{
		"short":              {[]*recordWrite{write(10, 0), write(10, 10), write(10, 10)}, 3},
		"long":               {[]*recordWrite{write(1<<20, 0), write(10, 0)}, 1},
		"short before long":  {[]*recordWrite{write(10, 0), write(1<<20, 0)}, 1},
		"replaces long ones": {[]*recordWrite{write(10, 200<<10), write(10, 200<<10)}, 1},
	} {
		if got := batchSize(c.pending); got != c.want {
			t.Errorf("%s: %d writes in a transaction, want %d", name, got, c.want)
		}
	}
}

// TestTooLongJobIsRefusedAtOnce guards against a job whose record the store never takes and whose caller waits until its
// deadline.
func TestTooLongJobIsRefusedAtOnce(t *testing.T) {
	rw := &recordWriter{maxValueBytes: 100, creations: make(map[string]*creation), wake: make(chan struct{}, 1)}
	if _, err := rw.create(job.Record{Job: job.Job{ID: "1", Spec: string(make([]byte, 100))}}, time.Now()); err == nil {
		t.Error("the job waits to be stored")
	}
}

// TestLongLabelsAreLeftOut guards against the record of a group of endpoints that the store refuses for good, so that none
// of them gets tasks.
func TestLongLabelsAreLeftOut(t *testing.T) {
	endpoints := []schedule.Endpoint{{ID: "e1", Pool: "p", Labels: []string{string(make([]byte, 1000))}}}
	for limit, labelled := range map[int]bool{1 << 20: true, 1000: false} {
		value, err := encodeEndpoints(endpoints, limit)
		if err != nil || len(value) > limit {
			t.Fatalf("%d bytes of %d, error %v", len(value), limit, err)
		}
		read, err := decodeEndpoints(value)
		if err != nil || len(read) != 1 || read[0].ID != "e1" || (len(read[0].Labels) > 0) != labelled {
			t.Errorf("read as %+v, error %v", read, err)
		}
	}
	if endpoints[0].Labels == nil {
		t.Error("the endpoint itself has changed")
	}
}
