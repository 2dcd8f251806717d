package changelog

import (
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/platform"
)

const (
	// maxRecentRecords and maxRecentBytes bound the records kept in memory for
	// peers; a peer that is further behind loads the complete state.
	maxRecentRecords = 1024
	maxRecentBytes   = 1 << 20
)

// errGap means that a record does not follow the state.
var errGap = errors.New("changelog: record does not follow the current version")

// Log is the copy of the configuration at one entry and its access to the log. The
// zero value with a Store is ready for use, at version 0. All methods are safe for
// concurrent use.
type Log struct {
	// Store is the key-value service.
	Store platform.Store
	// SnapshotEvery is the number of records after which Compact writes a new
	// snapshot; zero means 1,000.
	SnapshotEvery int64
	// RecordMargin is the number of records below the snapshot that Compact keeps for
	// readers that lag behind; zero means 1,000.
	RecordMargin int64

	state atomic.Pointer[fleet.State]

	mu          sync.Mutex
	changed     chan struct{}
	recent      []Record
	recentBytes int
	watched     watchPosition
	proposing   chan struct{}
}

// watchPosition is the key prefix and the index at which the last WaitForRecords stopped.
type watchPosition struct {
	prefix string
	index  int64
}

// State returns the current configuration at this entry; it is never modified
// after it is returned.
func (l *Log) State() (s *fleet.State) {
	if s = l.state.Load(); s == nil {
		return &fleet.State{}
	}
	return s
}

// Version returns the version of State; it never decreases.
func (l *Log) Version() (version int64) {
	return l.State().Version
}

// Changed returns a channel that is closed when the version next changes. Call it
// before State, so that no version is missed.
func (l *Log) Changed() (changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

// RecordsSince returns up to limit records that follow a version; kept is false if they
// are no longer in memory.
func (l *Log) RecordsSince(version int64, limit int) (records []Record, kept bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.Version() - int64(len(l.recent)) + 1
	if version+1 < first {
		return nil, false
	}
	from := min(version+1-first, int64(len(l.recent)))
	records = l.recent[from:]
	return append([]Record(nil), records[:min(limit, len(records))]...), true
}

// ApplyRecords applies records that a peer has read from the log and returns whether
// the version increased; records that were already applied are skipped.
func (l *Log) ApplyRecords(records []Record) (advanced bool, err error) {
	for _, r := range records {
		applied, err := l.applyRecord(r)
		if err != nil {
			return advanced, err
		}
		advanced = advanced || applied
	}
	return advanced, nil
}

// AdoptState replaces the state with that of a peer or a snapshot if its version is
// higher; the passed state must not be modified afterwards.
func (l *Log) AdoptState(s *fleet.State) (adopted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Version <= l.Version() {
		return false
	}
	l.recent = nil
	l.recentBytes = 0
	l.publish(s)
	return true
}

// applyRecord applies the record if it is the next one. A record that was already
// applied is skipped.
func (l *Log) applyRecord(r Record) (applied bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.State()
	if r.Index <= s.Version {
		return false, nil
	}
	if r.Index != s.Version+1 {
		return false, errors.Wrapf(errGap, "record %d, version %d", r.Index, s.Version)
	}
	c, err := r.Change()
	if err != nil {
		return false, err
	}
	next, err := fleet.Apply(*s, c)
	if err != nil {
		return false, errors.Wrapf(ErrCorrupt, "record %d: %v", r.Index, err)
	}
	l.keepRecent(r)
	l.publish(&next)
	return true, nil
}

func (l *Log) keepRecent(r Record) {
	l.recent = append(l.recent, r)
	l.recentBytes += len(r.Value)
	for len(l.recent) > maxRecentRecords || (l.recentBytes > maxRecentBytes && len(l.recent) > 1) {
		l.recentBytes -= len(l.recent[0].Value)
		l.recent = l.recent[1:]
	}
}

func (l *Log) publish(s *fleet.State) {
	l.state.Store(s)
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}
