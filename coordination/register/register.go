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
	// Margin is how long a record is kept in full beyond its deadline, so that
	// a caller whose connection broke can still ask for the outcome.
	Margin = 2 * time.Minute
	// DefaultMaxRecords is the most records in full; at 200 requests a second
	// with deadlines a minute away, 36,000 are in use.
	DefaultMaxRecords = 100_000
	// DefaultMaxBytes is the most memory for answers, reasons and attempts.
	DefaultMaxBytes = 16 << 20
	// maxAttempts is the most attempts of one request; homes stop earlier.
	maxAttempts = 16
)

var (
	// ErrOther means that the key was used by a request of other content.
	ErrOther = errors.New("register: the key was used by a different request")
	// ErrFenced means that no attempt may be claimed any more.
	ErrFenced = errors.New("register: the key is fenced")
	// ErrFull means that there is no room for another record.
	ErrFull = errors.New("register: " + ReasonFull)
	// ErrConflict means that the key already has another final outcome.
	ErrConflict = errors.New("register: the key has another final outcome")
)

// Register keeps the records of the keys that name an entry as their home or as
// their backup; the zero value is empty. It is not safe for concurrent use.
type Register struct {
	// MaxRecords is the most records in full; zero means DefaultMaxRecords.
	MaxRecords int
	// MaxBytes is the most bytes of texts; zero means DefaultMaxBytes.
	MaxBytes int

	records map[string]*Record
	bytes   int
	used    usedSet
}

// Begin enters a request at its home. Begun is false when the request must not
// run; the outcome is then that of the first request with the key so far.
func (r *Register) Begin(k Key, digest Digest, deadline, now time.Time) (outcome Outcome, begun bool, err error) {
	if record, found := r.Lookup(k, now); found {
		if record.Digest != "" && record.Digest != digest {
			return Outcome{}, false, ErrOther
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
	r.put(Record{Key: k, Digest: digest, Outcome: Outcome{State: Pending}, KeepUntil: deadline.Add(Margin)})
	return Outcome{State: Pending}, true, nil
}

// Refuse makes sure that a key that was never used is not used later, and
// returns notRun for it; a key that was used keeps its outcome.
func (r *Register) Refuse(k Key, reason string, now time.Time) (outcome Outcome, err error) {
	if record, found := r.Lookup(k, now); found {
		return record.Outcome, nil
	}
	switch {
	case k.Expired(now):
		return notRun(ReasonExpired), nil
	case !r.full():
		r.put(Record{Key: k, Fenced: true, Outcome: notRun(reason), KeepUntil: now.Add(Margin)})
	case !r.used.add(k):
		return Outcome{}, ErrFull
	}
	return notRun(reason), nil
}

// Claim adds an attempt before its task is sent: at the home, and as the second
// copy at the backup. A repeated claim of the same task changes nothing.
func (r *Register) Claim(k Key, a Attempt, now time.Time) (err error) {
	record, found := r.records[k.String()]
	switch {
	case !found && (k.Expired(now) || r.used.has(k)):
		return ErrFenced
	case !found && r.full():
		return ErrFull
	case !found:
		record = r.put(Record{Key: k, Outcome: Outcome{State: Pending}})
	}
	if slices.ContainsFunc(record.Attempts, func(b Attempt) bool { return b.Task == a.Task }) {
		return nil
	}
	if record.Fenced || record.Outcome.Final() || len(record.Attempts) >= maxAttempts {
		return ErrFenced
	}
	r.update(record, func() {
		record.Attempts = append(record.Attempts, a)
		record.KeepUntil = latest(record.KeepUntil, a.LeaseUntil.Add(Margin))
	})
	return nil
}

// Fence refuses further claims of a key that has a record and returns it.
func (r *Register) Fence(k Key, now time.Time) (record Record, found bool) {
	if kept, known := r.records[k.String()]; known {
		kept.Fenced = true
	}
	return r.Lookup(k, now)
}

// NotStarted notes that a task is certain never to start.
func (r *Register) NotStarted(k Key, task string) {
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

// Conclude sets the outcome of a record. A final outcome stays: another final
// one is an ErrConflict, and an unknown one is ignored.
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
		record.KeepUntil = latest(record.KeepUntil, now.Add(Margin))
	})
	if r.bytes > r.maxBytes() {
		r.retire(record, now)
	}
	return nil
}

// Lookup returns the record of a key; of a key whose record is no longer kept,
// only that its outcome is unknown.
func (r *Register) Lookup(k Key, now time.Time) (record Record, found bool) {
	if kept, known := r.records[k.String()]; known {
		return kept.clone(), true
	}
	if r.used.has(k) || now.After(k.ExpiresAt.Add(Margin)) {
		return Record{Key: k, Fenced: true, Outcome: retired()}, true
	}
	return Record{}, false
}

// Expire drops the records that need no longer be kept; it is called every few
// seconds.
func (r *Register) Expire(now time.Time) {
	for _, record := range r.records {
		if now.After(record.KeepUntil) {
			r.retire(record, now)
		}
	}
	r.used.expire(now.Add(-Margin))
}

// Len returns the number of records that are kept in full.
func (r *Register) Len() (records int) {
	return len(r.records)
}

// Bytes returns the memory of the records' texts.
func (r *Register) Bytes() (size int) {
	return r.bytes
}

// Dump writes the records as text, one a line.
func (r *Register) Dump(w io.Writer) {
	_, _ = fmt.Fprintf(w, "register: %d records, %d bytes, %d chunks of used keys\n", len(r.records), r.bytes, len(r.used.chunks))
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

func (r *Register) put(record Record) (kept *Record) {
	if r.records == nil {
		r.records = make(map[string]*Record)
	}
	r.records[record.Key.String()] = &record
	r.bytes += record.bytes()
	return &record
}

func (r *Register) update(record *Record, change func()) {
	r.bytes -= record.bytes()
	change()
	r.bytes += record.bytes()
}

// retire drops a record but remembers that its key was used; without room for
// that the record stays until its key has expired.
func (r *Register) retire(record *Record, now time.Time) {
	forgetAt := record.Key.ExpiresAt.Add(Margin)
	if !now.After(forgetAt) && !r.used.add(record.Key) {
		record.KeepUntil = forgetAt
		return
	}
	r.bytes -= record.bytes()
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
