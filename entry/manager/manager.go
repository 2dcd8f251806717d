package manager

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/coordination/admission"
	"github.com/azurepoint/azurepoint/coordination/fault"
	"github.com/azurepoint/azurepoint/coordination/input"
	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/organisation"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/meter"
	"github.com/azurepoint/azurepoint/entry/store"
)

// Term is one period of ownership of the pools.
type Term struct {
	// Owner is the condition on the owner's key under which the term lasts.
	Owner store.Condition
	// Number counts the terms from 1; it is the fencing token of the term's orders.
	Number int64
	// ConfinedSince is the first term from which on all owners have kept the tasks of
	// confined jobs in their data centres; 0 stands for Number.
	ConfinedSince int64
	// Confirmed reports whether the ownership is confirmed at the moment.
	Confirmed func() bool
	// StoreLost reports whether this entry has lost the store, or is nil if that is not watched.
	StoreLost func() bool
	// Lost is called once, when the term is found to be over.
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
	// Pools returns the pools that the operators have configured.
	Pools func() Pools
	// Organisations, if set, returns the terms of the organisations by the newest
	// configuration; known is false until there is one.
	Organisations func() (terms []organisation.Terms, known bool)
	// CancelMarks, if set, returns the jobs that are marked as cancelled, and IsCancelled whether
	// a job is. CancelsAsOf, if set, returns the time up to which both know all acknowledged marks,
	// or zero; without it their age is not bounded.
	CancelMarks func() []string
	IsCancelled func(id string) bool
	CancelsAsOf func() time.Time
	// Holder identifies this entry in orders to the platform.
	Holder string
	// Inherited is what the previous owner has handed over, or nil.
	Inherited *Inheritance

	mu        sync.Mutex
	scheduler schedule.Scheduler
	loaded    bool
	// jobsLoaded is closed when loaded is set.
	jobsLoaded   chan struct{}
	recordWriter *recordWriter
	pollers      map[string]*poller
	// recorded holds the endpoints that are stored, and listed those of the Directory,
	// by identifier; listed is nil until the list is known.
	recorded        map[string]schedule.Endpoint
	listed          map[string]schedule.Endpoint
	endpointRecords endpointRecords
	// pollersDue holds the endpoints that may need a poller.
	pollersDue map[string]bool
	// cancelledEarly holds the jobs that were cancelled without the owner before the jobs
	// were loaded and that were not among them.
	cancelledEarly map[string]bool
	// unlisted holds since when known endpoints are missing from the list.
	unlisted map[string]time.Time
	waiters  map[string][]chan struct{}
	// declared are the operators' waves; waves is accessed by one goroutine only.
	declared     []Wave
	wavesChanged chan struct{}
	waves        map[int64]*waveProgress
	orders       *recentOrders

	// receivedMu guards received, the reports that have not been applied yet.
	receivedMu sync.Mutex
	received   []receivedReport

	lostOnce sync.Once
	// quiet is closed when the manager has ended to call endpoints and to order instances.
	quiet chan struct{}
	// over is closed when the manager has ended.
	over        chan struct{}
	wake        chan struct{}
	listChanged chan struct{}
	// ordersInFlight counts the orders that have no result yet.
	ordersInFlight sync.WaitGroup
	// usesMeteredAt is when the use of the organisations was last put into the metrics, and
	// heldMetered the part of the scheduler's count that the metrics have.
	usesMeteredAt time.Time
	heldMetered   int64
	// planDue is when the current plan was due, and startsUsedUp is set if the last one had
	// fewer starts than were due; they are accessed by the planner only.
	planDue      time.Time
	startsUsedUp bool
	// withheldSince is since when starts are withheld because cancellations may be unread; it is
	// accessed by the planner only.
	withheldSince time.Time
	// submittedBytes is the memory of the accepted jobs whose submissions have not ended.
	submittedBytes atomic.Int64
	// endPolls counts the polls that have brought ends of runs.
	endPolls recentRate
	// pace measures how many starts this owner can send.
	pace admission.Pace
	// planSpacing bounds the part of the time that plans take; it is accessed by the planner only.
	planSpacing admission.Spacing
}

// Init prepares the manager; it must be called before every other method.
func (m *Manager) Init() {
	m.pace.Interval = maxPlanInterval
	m.planSpacing.Shortest, m.planSpacing.Longest = minPlanInterval, maxPlanInterval
	m.orders = &recentOrders{record: ownedRecord{key: recentKey}, owner: m.Term.Owner, handoverTime: m.Settings.OrderLease + handoverMargin, ordered: make(map[string]time.Time)}
	m.quiet = make(chan struct{})
	m.jobsLoaded = make(chan struct{})
	m.over = make(chan struct{})
	m.wavesChanged = make(chan struct{}, 1)
	m.waves = make(map[int64]*waveProgress)
}

// Run manages the pools until the context ends or the term is lost.
func (m *Manager) Run(ctx context.Context) <-chan error {
	m.wake = make(chan struct{}, 1)
	m.listChanged = make(chan struct{}, 1)
	m.pollers = make(map[string]*poller)
	m.recorded = make(map[string]schedule.Endpoint)
	m.pollersDue = make(map[string]bool)
	m.unlisted = make(map[string]time.Time)
	m.waiters = make(map[string][]chan struct{})
	m.scheduler.Settings = m.Settings.schedulerSettings(int(m.Term.Number))
	m.scheduler.Settings.ConfinedSince = cmp.Or(m.Term.ConfinedSince, m.Term.Number)
	if m.CancelsAsOf != nil {
		m.scheduler.Settings.CancelTimeout = cancelWithin
	}
	m.scheduler.OnWidened, m.scheduler.OnAwaited = logWidened, logAwaited
	m.scheduler.OnRunEnd, m.scheduler.OnEndpointLoss, m.scheduler.OnCrash = logRunEnd, logEndpointLoss, logCrash
	m.scheduler.OnOrganisationLimit, m.scheduler.OnHeldGang = logOrganisationLimit, logHeldGang
	m.scheduler.OnEvacuation = logEvacuation
	m.scheduler.OnEndStored = func(readAt time.Time) { meter.RecordSince("recordLag", readAt) }
	m.recordWriter = &recordWriter{
		store: m.Store, owner: m.Term.Owner, due: m.dueWrites, stored: m.recordsStored, failed: m.recordFailed,
		refused: m.recordRefused, created: m.jobCreated, exists: m.adoptRecord, lost: m.endTerm, maxValueBytes: m.Settings.ValueLimit(),
		creations: make(map[string]*creation), wake: make(chan struct{}, 1), over: make(chan struct{}),
	}
	ended := make(chan error, 1)
	go func() {
		err := m.run(ctx)
		meter.ReplaceGauges(usePrefix, nil)
		meter.ReplaceGauges(runsPrefix, nil)
		close(m.over)
		ended <- err
	}()
	return ended
}

func (m *Manager) run(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "manager")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !m.load(ctx) {
		m.awaitPollers()
		close(m.quiet)
		return nil
	}
	orderers := []<-chan error{m.runWaves(ctx), m.runMoves(ctx)}
	components := []<-chan error{m.recordWriter.run(ctx), m.Directory.Follow(ctx, m.resetEndpoints, m.applyListChange), m.runEndpointRecording(ctx), m.runCleanup(ctx), m.runDurations(ctx), m.runLateCreations(ctx)}
	orderCtx, cutOrders := context.WithCancel(context.WithoutCancel(ctx))
	defer cutOrders()
	m.runPlanner(ctx, orderCtx)
	cancel()
	m.awaitAnswers(cutOrders)
	m.awaitPollers()
	err = firstError(orderers)
	close(m.quiet)
	if e := firstError(components); err == nil {
		err = e
	}
	return err
}

// awaitPollers returns when the pollers have ended, after their context.
func (m *Manager) awaitPollers() {
	m.mu.Lock()
	pollers := slices.Collect(maps.Values(m.pollers))
	m.mu.Unlock()
	for _, p := range pollers {
		<-p.done
	}
}

// firstError waits for the ends of components, and returns their first error.
func firstError(components []<-chan error) (err error) {
	for _, c := range components {
		if e := <-c; e != nil && err == nil {
			err = e
		}
	}
	return err
}

// runPlanner sends the scheduler's orders until the context ends; orderCtx bounds the orders.
func (m *Manager) runPlanner(ctx, orderCtx context.Context) {
	due := time.NewTimer(0)
	defer due.Stop()
	lastPlan, next := time.Time{}, time.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
			wait := max(0, m.planSpacing.Interval()-time.Since(lastPlan))
			due.Reset(wait)
			if at := time.Now().Add(wait); at.Before(next) {
				next = at
			}
			continue
		case <-due.C:
		}
		lastPlan = time.Now()
		if !m.startsUsedUp {
			// Starts that one plan leaves to the next were due with the first one.
			m.planDue = next
		}
		next = lastPlan.Add(maxPlanInterval)
		due.Reset(maxPlanInterval)
		for _, o := range m.dueOrders() {
			m.sendOrder(orderCtx, o)
		}
		m.startPollers(ctx)
	}
}

// dueOrders returns the orders to send now, or none while the ownership is not
// confirmed.
func (m *Manager) dueOrders() (orders []plannedOrder) {
	confirmed := m.Term.Confirmed()
	cancels := m.readCancels()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyReceived()
	now := time.Now()
	m.applyCancels(cancels, now)
	m.scheduler.ExpireLeases(now)
	m.pruneUnlisted()
	m.startsUsedUp = false
	if !confirmed {
		return nil
	}
	m.logWithheldStarts(cancels, now)
	if !m.updateOrganisations(now) {
		return nil
	}
	before := m.scheduler.Counts.Widened
	m.scheduler.Settings.MaxStarts = startsPerPlan(m.planSpacing.Interval())
	planned := m.scheduler.Plan(now, now)
	m.planSpacing.Observe(time.Since(now))
	meter.RecordSince("plan", now)
	if m.scheduler.Counts.Widened > before {
		m.recordWriter.trigger()
	}
	if m.startsUsedUp = m.scheduler.StartsUsedUp(); m.startsUsedUp || m.scheduler.StopsUsedUp() {
		m.trigger()
	}
	for _, o := range planned {
		p := plannedOrder{Order: o}
		if address, known := m.scheduler.EndpointAddress(o.Endpoint); known {
			p.poller, p.target = m.pollers[o.Endpoint], Target{ID: o.Endpoint, Address: address}
		}
		orders = append(orders, p)
	}
	return orders
}

// startsPerPlan returns how many starts a plan may return if the next one begins after an interval.
func startsPerPlan(interval time.Duration) int {
	return max(maxStartsPerPlan, int(interval.Seconds()*maxStartsPerSecond))
}

// trigger makes runPlanner plan soon.
func (m *Manager) trigger() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// endTerm reports once that the term is over.
func (m *Manager) endTerm() {
	m.lostOnce.Do(m.Term.Lost)
}

// dueWrites returns changed records of known jobs that have to be stored.
func (m *Manager) dueWrites(limit int) (writes []*recordWrite) {
	return m.writesAfter(maxRecordDelay, limit)
}

// writesAfter returns changed records: those with a final state at once, the others after a
// delay.
func (m *Manager) writesAfter(delay time.Duration, limit int) (writes []*recordWrite) {
	m.mu.Lock()
	due := m.scheduler.Writes(time.Now(), delay, limit)
	m.mu.Unlock()
	for _, w := range due {
		value, shortened, err := w.Record.EncodeWithin(m.Settings.ValueLimit())
		if err != nil {
			m.recordRefused(w, err)
			continue
		}
		if shortened {
			meter.Count("records.shortened")
		}
		w.Bytes = len(value)
		writes = append(writes, &recordWrite{Write: w, value: value})
	}
	return writes
}

// recordRefused holds back a record that cannot be stored as it is.
func (m *Manager) recordRefused(w schedule.Write, err error) {
	meter.Count("records.refused")
	event.RecordRefused.Log(log.Fields{"job": w.Record.ID, "error": err.Error()})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scheduler.RefuseWrite(w.Record.ID, time.Now())
}

// recordsStored passes on that records were stored as a revision. It takes the lock once for
// all, because each wait for it is one for plans and reports.
func (m *Manager) recordsStored(writes []schedule.Write, revision int64) {
	widened := false
	var waiters []chan struct{}
	m.mu.Lock()
	for _, w := range writes {
		widened = m.scheduler.ConfirmWrite(w, revision) || widened
		if w.Record.State.Terminal() {
			waiters = append(waiters, m.waiters[w.Record.ID]...)
			delete(m.waiters, w.Record.ID)
		}
	}
	m.mu.Unlock()
	if widened {
		m.trigger()
	}
	for _, w := range writes {
		if id, state := w.Record.ID, w.Record.State; state.Terminal() {
			meter.Count("jobs." + string(state))
			event.JobEnded.Log(log.Fields{"job": id, "state": string(state), "term": m.Term.Number})
		}
	}
	for _, c := range waiters {
		close(c)
	}
}

func (m *Manager) recordFailed(w schedule.Write) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scheduler.FailWrite(w.Record.ID)
}

func (m *Manager) jobCreated(r job.Record, cancelled bool) {
	m.addJob(r, cancelled)
	fields := log.Fields{"job": r.ID, "queue": r.Queue, "pool": r.Pool, "term": m.Term.Number}
	if r.Organisation != "" {
		fields["organisation"], fields["surplus"] = r.Organisation, r.Surplus
	}
	if r.DataCentre != "" {
		fields["dataCentre"] = r.DataCentre
		meter.Count("placement.confined")
	}
	event.JobAccepted.Log(fields)
	m.trigger()
}

// addJob passes a stored job to the scheduler, and its cancellation before a task can
// start. It reports whether the job was new.
func (m *Manager) addJob(r job.Record, cancelled bool) (added bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	added = !m.scheduler.HasJob(r.ID)
	m.scheduler.AddJob(r, now)
	if cancelled || m.cancelledEarly[r.ID] {
		delete(m.cancelledEarly, r.ID)
		m.scheduler.CancelJob(r.ID, now)
	}
	return added
}

// adoptRecord passes a job that another entry has stored to the scheduler, unless the record is a
// tombstone, and reports whether the record is valid.
func (m *Manager) adoptRecord(item store.Item, cancelled bool) (valid bool) {
	r, err := decodeJob(item)
	if err != nil {
		event.RecordInvalid.Log(log.Fields{"key": item.Key, "error": input.Excerpt(err)})
		return false
	}
	if r.IsTombstone() {
		return true
	}
	if m.addJob(r, cancelled) {
		event.JobAdopted.Log(log.Fields{"job": r.ID, "queue": r.Queue, "pool": r.Pool, "term": m.Term.Number})
		m.trigger()
	}
	return true
}

// Adopt takes over a job that another entry has stored without the owner. It asks whether
// the job is cancelled after it has read the job, and then starts no task of it.
func (m *Manager) Adopt(ctx context.Context, id string, cancelled func() bool) (err error) {
	defer fault.Annotate(&err, "manager: adopt job")
	m.mu.Lock()
	known := !m.loaded || m.scheduler.HasJob(id)
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
	m.adoptRecord(item, cancelled())
	return nil
}
