package manager

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/coordination/fault"
	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/meter"
	"github.com/azurepoint/azurepoint/entry/store"
)

// Term is one ownership of the pools.
type Term struct {
	// Owner is the condition under which the term lasts.
	Owner store.Condition
	// Number counts the terms from 1; it is the fence of the term's orders.
	Number int64
	// Authority is how long an earlier owner may have gone on without the store.
	Authority time.Duration
	// Confirmed tells whether the ownership is confirmed now.
	Confirmed func() bool
	// Lost is called once when the term is found to be over.
	Lost func()
}

// Manager runs the pools for one term.
type Manager struct {
	Settings  Settings
	Term      Term
	Store     store.Store
	Endpoints Endpoints
	Directory Directory
	Machines  Machines
	Reports   WaveReports
	// Pools returns the operators' pools.
	Pools func() Pools
	// Holder names this entry in orders to the platform.
	Holder string

	mu        sync.Mutex
	scheduler schedule.Scheduler
	loaded    bool
	register  *register
	holders   map[string]*holder
	// recorded are the endpoints whose names are stored; newest is the last list.
	recorded          map[string]schedule.Endpoint
	endpointsRevision int64
	newest            []schedule.Endpoint
	holdersDue        bool
	// unlisted holds since when known endpoints are not listed.
	unlisted map[string]time.Time
	waiters  map[string][]chan struct{}
	// declared are the operators' waves; waves is used by one goroutine.
	declared     []Wave
	wavesChanged chan struct{}
	waves        map[int64]*waveProgress
	orders       *recentOrders

	lostOnce sync.Once
	wake     chan struct{}
	listed   chan struct{}
	// answers carries the answers to the orders that are being sent.
	answers chan answer
	sending int
}

// Init prepares the manager; it must be called before every other method.
func (m *Manager) Init() {
	m.orders = &recentOrders{owner: m.Term.Owner, free: m.Settings.OrderLease + handoverMargin, ordered: make(map[string]time.Time)}
	m.wavesChanged = make(chan struct{}, 1)
	m.waves = make(map[int64]*waveProgress)
}

// Run manages the pools until the context ends or the term is lost.
func (m *Manager) Run(ctx context.Context) <-chan error {
	m.wake = make(chan struct{}, 1)
	m.listed = make(chan struct{}, 1)
	m.answers = make(chan answer)
	m.holders = make(map[string]*holder)
	m.recorded = make(map[string]schedule.Endpoint)
	m.unlisted = make(map[string]time.Time)
	m.waiters = make(map[string][]chan struct{})
	m.scheduler.Settings = m.Settings.scheduler(int(m.Term.Number), m.Term.Authority)
	m.scheduler.Ended = logRunEnd
	m.register = &register{
		store: m.Store, owner: m.Term.Owner, due: m.dueWrites, stored: m.recordStored, failed: m.recordFailed,
		created: m.jobCreated, existing: m.jobExists, lost: m.lose,
		creations: make(map[string]*creation), revisions: make(map[string]int64), wake: make(chan struct{}, 1),
	}
	ended := make(chan error, 1)
	go func() { ended <- m.run(ctx) }()
	return ended
}

func (m *Manager) run(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "manager")
	if !m.load(ctx) {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	parts := []<-chan error{m.register.run(ctx), m.Directory.Follow(ctx, m.list), m.runWaves(ctx), m.runMoves(ctx), m.runList(ctx), m.runForget(ctx)}
	m.plan(ctx)
	cancel()
	for ; m.sending > 0; m.sending-- {
		<-m.answers
	}
	for _, p := range parts {
		if e := <-p; e != nil && err == nil {
			err = e
		}
	}
	m.mu.Lock()
	holders := m.holders
	m.mu.Unlock()
	for _, h := range holders {
		<-h.ended
	}
	return err
}

// load reads the records of all jobs; the term's claim has ended every write of
// the earlier owner. It is false if the context ends before.
func (m *Manager) load(ctx context.Context) (loaded bool) {
	for failures := 0; ; failures++ {
		err := m.tryLoad(ctx)
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		event.RecordFailed.Log(log.Fields{"action": "load", "error": err.Error()})
		retry.Pause(ctx, min(firstCommitRetry<<min(failures, 6), longestCommitRetry))
	}
}

func (m *Manager) tryLoad(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	items, _, err := m.Store.Range(ctx, jobPrefix)
	if err != nil {
		return err
	}
	cancelled, _, err := m.Store.Range(ctx, CancelPrefix)
	if err != nil {
		return err
	}
	if err = m.orders.load(ctx, m.Store); err != nil {
		return err
	}
	known, found, err := m.Store.Get(ctx, endpointsKey)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, i := range items {
		m.register.revisions[i.Key] = i.Revision
		r, err := job.Decode(i.Value)
		if err != nil {
			event.RecordInvalid.Log(log.Fields{"key": i.Key, "error": err.Error()})
			continue
		}
		m.scheduler.Load(r, now)
	}
	// A job that was cancelled without an owner must not start before the mark is
	// seen in the view.
	for _, i := range cancelled {
		m.scheduler.Cancel(strings.TrimPrefix(i.Key, CancelPrefix), now)
	}
	if found {
		m.endpointsRevision = known.Revision
		var endpoints []schedule.Endpoint
		if err = json.Unmarshal(known.Value, &endpoints); err != nil {
			event.RecordInvalid.Log(log.Fields{"key": endpointsKey, "error": err.Error()})
		}
		for _, e := range endpoints {
			m.recorded[e.ID] = e
			m.scheduler.InheritSettled(e, now)
		}
	}
	m.loaded = true
	event.OwnershipReady.Log(log.Fields{"term": m.Term.Number, "jobs": len(items), "endpoints": len(m.recorded)})
	return nil
}

// plan sends the scheduler's orders until the context ends.
func (m *Manager) plan(ctx context.Context) {
	due := time.NewTimer(0)
	defer due.Stop()
	planned := time.Time{}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case a := <-m.answers:
			m.sending--
			m.apply(a)
			continue
		case <-m.wake:
			due.Reset(max(0, planSpacing-time.Since(planned)))
			continue
		case <-due.C:
		}
		planned = time.Now()
		due.Reset(planInterval)
		for _, o := range m.planned() {
			m.send(ctx, o)
		}
		m.startHolders(ctx)
	}
}

// planned returns the orders to send now; there are none while the ownership is
// not confirmed.
func (m *Manager) planned() (orders []schedule.Order) {
	confirmed := m.Term.Confirmed()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.scheduler.Expire(now)
	m.pruneUnlisted()
	if !confirmed {
		return nil
	}
	return m.scheduler.Plan(now, now)
}

func (m *Manager) kick() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Manager) lose() {
	m.lostOnce.Do(m.Term.Lost)
}

// dueWrites returns records of known jobs that have to be stored.
func (m *Manager) dueWrites(limit int) (writes []*write) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.scheduler.Writes(time.Now(), recordDelay, limit) {
		value, err := w.Record.Encode()
		if err != nil {
			event.RecordInvalid.Log(log.Fields{"job": w.Record.ID, "error": err.Error()})
			m.scheduler.NotStored(w.Record.ID)
			continue
		}
		writes = append(writes, &write{id: w.Record.ID, value: value, state: w.Record.State, version: w.Version})
	}
	return writes
}

func (m *Manager) recordStored(w *write) {
	m.mu.Lock()
	m.scheduler.Stored(w.id, w.version, w.state)
	waiters := m.waiters[w.id]
	if w.state.Terminal() {
		delete(m.waiters, w.id)
	}
	m.mu.Unlock()
	if w.state.Terminal() {
		meter.Count("jobs." + string(w.state))
		event.JobEnded.Log(log.Fields{"job": w.id, "state": string(w.state), "term": m.Term.Number})
		for _, c := range waiters {
			close(c)
		}
	}
}

func (m *Manager) recordFailed(w *write) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scheduler.NotStored(w.id)
}

func (m *Manager) jobCreated(r job.Record) {
	m.mu.Lock()
	m.scheduler.Add(r, time.Now())
	m.mu.Unlock()
	event.JobAccepted.Log(log.Fields{"job": r.ID, "queue": r.Queue, "pool": r.Pool, "term": m.Term.Number})
	m.kick()
}

// jobExists adopts a job that another entry has stored.
func (m *Manager) jobExists(item store.Item) {
	r, err := job.Decode(item.Value)
	if err != nil {
		event.RecordInvalid.Log(log.Fields{"key": item.Key, "error": err.Error()})
		return
	}
	m.mu.Lock()
	known := m.scheduler.Known(r.ID)
	m.scheduler.Add(r, time.Now())
	m.mu.Unlock()
	if !known {
		event.JobAdopted.Log(log.Fields{"job": r.ID, "queue": r.Queue, "pool": r.Pool, "term": m.Term.Number})
		m.kick()
	}
}

// Adopt takes over a job that another entry has stored without the owner.
func (m *Manager) Adopt(ctx context.Context, id string) (err error) {
	defer fault.Annotate(&err, "manager: adopt job")
	m.mu.Lock()
	known := !m.loaded || m.scheduler.Known(id)
	m.mu.Unlock()
	if known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	item, found, err := m.Store.Get(ctx, JobKey(id))
	if err != nil || !found {
		return err
	}
	m.register.adopt(item)
	m.jobExists(item)
	return nil
}

// logRunEnd writes the line of a run's end.
func logRunEnd(r schedule.RunEnd) {
	meter.Count("runs." + r.How)
	if !event.RunEndedLimited.Allow() {
		return
	}
	event.RunEnded.Log(log.Fields{
		"job": r.Job, "task": strings.TrimPrefix(r.Task, r.Job+"."), "run": r.Run, "endpoint": r.Endpoint,
		"how": r.How, "tookMillis": r.Took.Milliseconds(),
	})
}
