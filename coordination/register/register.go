package register

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// RetentionMargin is how long a record is kept in full after its deadline, so that a
	// caller whose connection broke can still ask for the outcome.
	RetentionMargin = 2 * time.Minute
	// DefaultMaxRecords limits the number of full records. 200 requests a second
	// with deadlines one minute away need 36,000.
	DefaultMaxRecords = 100_000
	// DefaultMaxBytes limits the memory for answers, reasons and attempts.
	DefaultMaxBytes = 16 << 20
	// maxAttempts limits the attempts of one request. Primaries stop retrying
	// earlier.
	maxAttempts = 16
)

var (
	// ErrDifferentRequest means that a request with different content already used the key.
	ErrDifferentRequest = errors.New("register: the key was used by a different request")
	// ErrFenced means that further attempts of the key may not be claimed.
	ErrFenced = errors.New("register: the key is fenced")
	// ErrFull means that the limits allow no further record.
	ErrFull = errors.New("register: " + ReasonFull)
	// ErrConflict means that a different final outcome is already recorded.
	ErrConflict = errors.New("register: the key has another final outcome")
)

// Register holds the records of all keys that name an entry as primary or backup.
// The zero value is empty. It is not safe for concurrent use.
type Register struct {
	// MaxRecords limits the number of full records; zero means DefaultMaxRecords.
	MaxRecords int
	// MaxBytes limits the bytes of strings in records; zero means DefaultMaxBytes.
	MaxBytes int

	records  map[string]*Record
	bytes    int
	usedKeys usedKeySet
}

// Begin records a request at its primary. If begun is false, the request must not
// run, and outcome is the current outcome of the key.
func (r *Register) Begin(k Key, digest Digest, deadline, now time.Time) (outcome Outcome, begun bool, err error) {
	if record, found := r.Lookup(k, now); found {
		if record.Digest != "" && record.Digest != digest {
			return Outcome{}, false, ErrDifferentRequest
		}
		return record.Outcome, false, nil
	}
	if !now.Before(deadline) {
		outcome, err = r.Refuse(k, ReasonDeadline, now)
		return outcome, false, err
	}
	if k.Expired(now) || r.full() {
		outcome, err = r.Refuse(k, ReasonFull, now)
		return outcome, false, err
	}
	r.insert(Record{Key: k, Digest: digest, Outcome: Outcome{State: Pending}, KeepUntil: deadline.Add(RetentionMargin)})
	return Outcome{State: Pending}, true, nil
}

// Refuse returns notRun for an unused key and makes sure that the key cannot be
// used later. A used key keeps its outcome.
func (r *Register) Refuse(k Key, reason string, now time.Time) (outcome Outcome, err error) {
	if record, found := r.Lookup(k, now); found {
		return record.Outcome, nil
	}
	switch {
	case k.Expired(now):
		return notRunOutcome(ReasonExpired), nil
	case !r.full():
		r.insert(Record{Key: k, Fenced: true, Outcome: notRunOutcome(reason), KeepUntil: now.Add(RetentionMargin)})
	case !r.usedKeys.add(k):
		return Outcome{}, ErrFull
	}
	return notRunOutcome(reason), nil
}

// Claim records an attempt before its task is sent, at the primary and as a second
// copy at the backup. Claiming the same task again has no effect.
func (r *Register) Claim(k Key, a Attempt, now time.Time) (err error) {
	record, found := r.records[k.String()]
	switch {
	case !found && (k.Expired(now) || r.usedKeys.has(k)):
		return ErrFenced
	case !found && r.full():
		return ErrFull
	case !found:
		record = r.insert(Record{Key: k, Outcome: Outcome{State: Pending}})
	}
	if slices.ContainsFunc(record.Attempts, func(b Attempt) bool { return b.Task == a.Task }) {
		return nil
	}
	if record.Fenced || record.Outcome.Final() || len(record.Attempts) >= maxAttempts {
		return ErrFenced
	}
	r.update(record, func() {
		record.Attempts = append(record.Attempts, a)
		record.KeepUntil = latest(record.KeepUntil, a.LeaseUntil.Add(RetentionMargin))
	})
	return nil
}

// Fence refuses further claims of a key that has a record, and returns the record.
func (r *Register) Fence(k Key, now time.Time) (record Record, found bool) {
	if kept, known := r.records[k.String()]; known {
		kept.Fenced = true
	}
	return r.Lookup(k, now)
}

// MarkNotStarted records that a task is certain never to start.
func (r *Register) MarkNotStarted(k Key, task string) {
	record, found := r.records[k.String()]
	if !found {
		return
	}
	for i := range record.Attempts {
		if record.Attempts[i].Task == task {
			record.Attempts[i].NotStarted = true
		}
	}
}

// Conclude sets the outcome of a record. A final outcome is kept: a different final
// outcome returns ErrConflict, and an unknown outcome is ignored.
func (r *Register) Conclude(k Key, outcome Outcome, now time.Time) (err error) {
	record, found := r.records[k.String()]
	if !found || outcome.State == Pending {
		return nil
	}
	if record.Outcome.Final() {
		same := outcome.State == record.Outcome.State && outcome.Answer == record.Outcome.Answer
		if outcome.Final() && !same {
			return ErrConflict
		}
		return nil
	}
	r.update(record, func() {
		record.Outcome = outcome
		record.KeepUntil = latest(record.KeepUntil, now.Add(RetentionMargin))
	})
	if r.bytes > r.maxBytes() {
		r.retire(record, now)
	}
	return nil
}

// Lookup returns the record of a key. For a used key without a full record, and for
// a key that expired more than RetentionMargin ago, it returns a fenced record whose outcome
// is unknown.
func (r *Register) Lookup(k Key, now time.Time) (record Record, found bool) {
	if kept, known := r.records[k.String()]; known {
		return kept.clone(), true
	}
	if r.usedKeys.has(k) || now.After(k.ExpiresAt.Add(RetentionMargin)) {
		return Record{Key: k, Fenced: true, Outcome: retiredOutcome()}, true
	}
	return Record{}, false
}

// Expire drops records whose KeepUntil has passed. It is called every few seconds.
func (r *Register) Expire(now time.Time) {
	for _, record := range r.records {
		if now.After(record.KeepUntil) {
			r.retire(record, now)
		}
	}
	r.usedKeys.expire(now.Add(-RetentionMargin))
}

// Len returns the number of full records.
func (r *Register) Len() (records int) {
	return len(r.records)
}

// Bytes returns the total size of the strings in records.
func (r *Register) Bytes() (size int) {
	return r.bytes
}

// Dump writes the records as text, one record per line with its attempts below.
func (r *Register) Dump(w io.Writer) {
	_, _ = fmt.Fprintf(w, "register: %d records, %d bytes, %d chunks of used keys\n", len(r.records), r.bytes, len(r.usedKeys.chunks))
	for _, text := range slices.Sorted(maps.Keys(r.records)) {
		record := r.records[text]
		_, _ = fmt.Fprintf(w, "%s %s %q fenced=%t keepUntil=%s\n", text, record.Outcome.State, record.Outcome.Reason,
			record.Fenced, record.KeepUntil.UTC().Format(time.RFC3339))
		for _, a := range record.Attempts {
			_, _ = fmt.Fprintf(w, "  task %s at %s leaseUntil=%s notStarted=%t\n", a.Task, a.Endpoint,
				a.LeaseUntil.UTC().Format(time.RFC3339Nano), a.NotStarted)
		}
	}
}

func (r *Register) insert(record Record) (kept *Record) {
	if r.records == nil {
		r.records = make(map[string]*Record)
	}
	r.records[record.Key.String()] = &record
	r.bytes += record.textBytes()
	return &record
}

// update changes a record and adjusts the total size of strings.
func (r *Register) update(record *Record, change func()) {
	r.bytes -= record.textBytes()
	change()
	r.bytes += record.textBytes()
}

// retire replaces a record with one bit for its used key. If the set of used keys
// is full, the record stays until its key has expired.
func (r *Register) retire(record *Record, now time.Time) {
	keepUntil := record.Key.ExpiresAt.Add(RetentionMargin)
	if !now.After(keepUntil) && !r.usedKeys.add(record.Key) {
		record.KeepUntil = keepUntil
		return
	}
	r.bytes -= record.textBytes()
	delete(r.records, record.Key.String())
}

func (r *Register) full() bool {
	limit := r.MaxRecords
	if limit == 0 {
		limit = DefaultMaxRecords
	}
	return len(r.records) >= limit || r.bytes >= r.maxBytes()
}

func (r *Register) maxBytes() int {
	if r.MaxBytes == 0 {
		return DefaultMaxBytes
	}
	return r.MaxBytes
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
