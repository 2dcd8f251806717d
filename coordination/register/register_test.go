package register

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.UnixMilli(0)

func newAttempt(task string) Attempt {
	return Attempt{Task: task, LeaseUntil: epoch.Add(time.Minute)}
}

// Guards against a request that runs twice, or that runs after its caller received
// notRun. Each case is one way in which that can happen.
func TestUsedKeysDoNotRunAgain(t *testing.T) {
	late := epoch.Add(10 * time.Minute)
	tests := []struct {
		name  string
		setUp func(r *Register)
		now   time.Time
		want  Outcome
	}{
		{"second copy", func(r *Register) { _, _, _ = r.Begin(testKey(1), "d", late, epoch) }, epoch, Outcome{State: Pending}},
		{"cancelled before it arrived", func(r *Register) { _, _ = r.Refuse(testKey(1), "cancelled", epoch) }, epoch, notRunOutcome("cancelled")},
		{"deadline passed", func(r *Register) { _, _, _ = r.Begin(testKey(1), "d", epoch, epoch) }, epoch, notRunOutcome(ReasonDeadline)},
		{"refused as full", func(r *Register) {
			r.MaxRecords = 1
			_, _, _ = r.Begin(testKey(2), "d", late, epoch)
			_, _, _ = r.Begin(testKey(1), "d", late, epoch)
			r.MaxRecords = 2
		}, epoch, retiredOutcome()},
		{"record dropped", func(r *Register) {
			_, _, _ = r.Begin(testKey(1), "d", epoch.Add(time.Second), epoch)
			r.Expire(epoch.Add(RetentionMargin + 2*time.Second))
		}, epoch.Add(RetentionMargin + 3*time.Second), retiredOutcome()},
		{"key expired", func(*Register) {}, testKey(1).ExpiresAt, notRunOutcome(ReasonExpired)},
		{"used key no longer stored", func(r *Register) {
			_, _, _ = r.Begin(testKey(1), "d", late, epoch)
			r.Expire(testKey(1).ExpiresAt.Add(RetentionMargin + time.Hour))
		}, testKey(1).ExpiresAt.Add(RetentionMargin + 2*time.Hour), retiredOutcome()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r Register
			tt.setUp(&r)
			outcome, begun, err := r.Begin(testKey(1), "d", tt.now.Add(10*time.Minute), tt.now)
			if outcome != tt.want || begun || err != nil {
				t.Errorf("%+v, begun %t, %v, want %+v", outcome, begun, err, tt.want)
			}
			if err := r.Claim(testKey(1), newAttempt("late"), tt.now); outcome.State != Pending && err == nil {
				t.Error("a late claim was accepted")
			}
		})
	}
}

// Guards against a backup that loses the claim of an earlier attempt: it could
// settle the key as notRun while that attempt runs.
func TestClaimsKeepEveryAttempt(t *testing.T) {
	var r Register
	for _, task := range []string{"a", "b", "a"} {
		if err := r.Claim(testKey(1), newAttempt(task), epoch); err != nil {
			t.Fatal(err)
		}
	}
	r.MarkNotStarted(testKey(1), "a")
	record, found := r.Fence(testKey(1), epoch)
	if !found || len(record.Attempts) != 2 || len(record.OpenAttempts()) != 1 || record.OpenAttempts()[0].Task != "b" {
		t.Errorf("%+v, %t", record, found)
	}
	if err := r.Claim(testKey(1), newAttempt("c"), epoch); !errors.Is(err, ErrFenced) {
		t.Errorf("claim of a fenced key: %v", err)
	}
}

// Applies random operations to a register. It must begin each key at most once,
// keep final outcomes, never begin a refused key, and respect its limits.
func TestRegisterProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Register{MaxRecords: 6, MaxBytes: 60}
		now := epoch
		beginCount := map[int64]int{}
		finalOutcomes := map[int64]Outcome{}
		checkOutcome := func(sequence int64, o Outcome) {
			if old, known := finalOutcomes[sequence]; known && o.Final() && o != old {
				t.Fatalf("key %d: %+v after %+v", sequence, o, old)
			}
			if o.Final() {
				finalOutcomes[sequence] = o
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			k := testKey(rapid.Int64Range(0, 8).Draw(t, "key"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				o, b, _ := r.Begin(k, "d", now.Add(time.Minute), now)
				checkOutcome(k.Sequence, o)
				if b {
					beginCount[k.Sequence]++
				}
				if b && finalOutcomes[k.Sequence].State == NotRun || beginCount[k.Sequence] > 1 {
					t.Fatalf("key %d begun %d times, outcome %+v", k.Sequence, beginCount[k.Sequence], finalOutcomes[k.Sequence])
				}
			case 1:
				o, _ := r.Refuse(k, "cancelled", now)
				checkOutcome(k.Sequence, o)
			case 2:
				before, _ := r.Lookup(k, now)
				err := r.Claim(k, newAttempt(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "task"))), now)
				if known := before.Outcome.Final(); known && err == nil && len(before.Attempts) == 0 {
					t.Fatalf("key %d: claim after %+v", k.Sequence, before.Outcome)
				}
			case 3:
				state := rapid.SampledFrom([]State{Done, NotRun, Unknown}).Draw(t, "state")
				_ = r.Conclude(k, Outcome{State: state, Answer: rapid.StringN(0, 30, 30).Draw(t, "answer")}, now)
				record, _ := r.Lookup(k, now)
				checkOutcome(k.Sequence, record.Outcome)
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "seconds")) * time.Second)
				r.Expire(now)
			case 5:
				record, _ := r.Fence(k, now)
				checkOutcome(k.Sequence, record.Outcome)
			}
			if r.Len() > 6 || r.Bytes() < 0 {
				t.Fatalf("%d records, %d bytes", r.Len(), r.Bytes())
			}
		}
	})
}
