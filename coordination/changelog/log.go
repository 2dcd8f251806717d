package changelog

import (
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/platform"
)

const (
	// keptRecords and keptBytes bound the records kept in memory for peers; a
	// peer that is further behind takes the whole state.
	keptRecords = 1024
	keptBytes   = 1 << 20
)

// errGap means that a record does not follow the state.
var errGap = errors.New("changelog: record does not follow the version in force")

// Log is an entry's copy of the configuration and its access to the log. The
// zero value with a Store is ready, at version 0. All methods may be called by
// several goroutines.
type Log struct {
	// Store is the key-value service.
	Store platform.Store
	// SnapshotEvery is the number of records after which Compact writes a new
	// snapshot; zero means 1,000.
	SnapshotEvery int64
	// Margin is the number of records below the snapshot that Compact keeps for
	// readers that are behind; zero means 1,000.
	Margin int64

	state atomic.Pointer[fleet.State]

	mu      sync.Mutex
	changed chan struct{}
	recent  []Record
	bytes   int
	watched watch
	turn    chan struct{}
}

// watch is where the last Follow left off.
type watch struct {
	prefix string
	index  int64
}

// State returns the configuration in force at this entry; it is never modified
// after it is returned.
func (l *Log) State() (s *fleet.State) {
	if s = l.state.Load(); s == nil {
		return &fleet.State{}
	}
	return s
}

// Version returns the version in force at this entry; it never falls.
func (l *Log) Version() (version int64) {
	return l.State().Version
}

// Changed returns a channel that is closed at the next version after the call;
// take it before the state, so that no version is missed.
func (l *Log) Changed() (changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

// Since returns records that follow a version, at most limit; kept is false if
// they are no longer in memory.
func (l *Log) Since(version int64, limit int) (records []Record, kept bool) {
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

// Accept applies records that a peer has read from the log and returns whether
// the version rose; records that are in force already are passed over.
func (l *Log) Accept(records []Record) (advanced bool, err error) {
	for _, r := range records {
		applied, err := l.apply(r)
		if err != nil {
			return advanced, err
		}
		advanced = advanced || applied
	}
	return advanced, nil
}

// Adopt takes a whole state of a peer or a snapshot if it has a higher version;
// the state must not be modified afterwards.
func (l *Log) Adopt(s *fleet.State) (adopted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Version <= l.Version() {
		return false
	}
	l.recent = nil
	l.bytes = 0
	l.publish(s)
	return true
}

// apply puts the record in force if it is the next one.
func (l *Log) apply(r Record) (applied bool, err error) {
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
	l.keep(r)
	l.publish(&next)
	return true, nil
}

func (l *Log) keep(r Record) {
	l.recent = append(l.recent, r)
	l.bytes += len(r.Value)
	for len(l.recent) > keptRecords || (l.bytes > keptBytes && len(l.recent) > 1) {
		l.bytes -= len(l.recent[0].Value)
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
