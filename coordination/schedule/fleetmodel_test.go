package schedule

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/organisation"
)

// simulatedEndpoint executes orders as an endpoint does that does not enforce its capacity.
type simulatedEndpoint struct {
	id          string
	incarnation int64
	fence       int
	leaseUntil  time.Time
	running     map[string]ListedRun
	stopping    map[string]bool
	// highest is the highest run of a task that was stopped or ended here.
	highest map[string]int
	ended   []EndedRun
	ends    int64
	// onEnd and onAcknowledge, if set, are called for each end and each acknowledged end.
	onEnd         func(name string, how EndReason)
	onAcknowledge func(ended EndedRun)
}

// lateOrder is an order that got no answer and may still be executed.
type lateOrder struct {
	Order

	fence int
	// incarnation is the process of the endpoint for which the order is meant.
	incarnation int64
	deadline    time.Time
	issued      int
}

// fleetModel is a fleet under a sequence of owners, with what its endpoints really run.
type fleetModel struct {
	*rapid.T

	s         *Scheduler
	owner     int
	now       time.Time
	endpoints []*simulatedEndpoint
	store     map[string]job.Record
	jobs      map[string]job.Job
	late      []lateOrder
	// configurations holds the limit on the CPU of organisation a in all versions.
	configurations []int
	// dataCentres holds those of the endpoints as the owner reads them.
	dataCentres map[string]string
	// prepare, load, onConfirm and onStart, if set, are called with the settings of each new
	// owner, with each record that it loads, with each write that the store has confirmed and
	// for each run that starts.
	prepare   func(s *Settings)
	load      func(r *job.Record)
	onConfirm func(w Write)
	onStart   func(o lateOrder)
}

func newFleetModel(t *rapid.T, endpoints int) *fleetModel {
	m := &fleetModel{
		T: t, now: time.UnixMilli(1_700_000_000_000), store: make(map[string]job.Record), jobs: make(map[string]job.Job), configurations: []int{4000},
	}
	for i := range endpoints {
		m.endpoints = append(m.endpoints, &simulatedEndpoint{
			id: fmt.Sprintf("e%d", i), incarnation: 1, running: make(map[string]ListedRun), stopping: make(map[string]bool), highest: make(map[string]int),
		})
	}
	m.takeOver()
	return m
}

// pool returns the pool of an endpoint: the last one has its own.
func (m *fleetModel) pool(e *simulatedEndpoint) string {
	if e == m.endpoints[len(m.endpoints)-1] {
		return "q"
	}
	return "p"
}

func (m *fleetModel) takeOver() {
	m.succeed(nil, m.now)
}

// succeed makes another owner take over, with what the previous one has handed over, if
// anything.
func (m *fleetModel) succeed(h *Handover, receivedAt time.Time) {
	m.owner++
	m.s = &Scheduler{Settings: testSettings}
	m.s.Settings.RunNumberBase = m.owner * 1000
	if m.prepare != nil {
		m.prepare(&m.s.Settings)
	}
	var listed []Endpoint
	for _, e := range m.endpoints {
		l := Endpoint{ID: e.id, Pool: m.pool(e), Address: e.id, DataCentre: m.dataCentres[e.id], Capacity: Capacity{CPU: 4000, MemoryMB: 4000}}
		m.s.AddSettledEndpoint(l, m.now)
		listed = append(listed, l)
	}
	var records []job.Record
	for _, id := range sortedKeys(m.store) {
		r := m.store[id]
		if m.load != nil {
			m.load(&r)
		}
		records = append(records, r)
	}
	if h != nil {
		m.s.LoadHandover(*h, records, receivedAt, m.now)
	} else {
		for _, r := range records {
			m.s.LoadJob(r, m.now)
		}
	}
	m.s.SetEndpoints(listed, m.now)
	m.setLimit(m.configurations[len(m.configurations)-1])
}

func (m *fleetModel) setLimit(cpu int) {
	m.configurations = append(m.configurations, cpu)
	m.s.SetOrganisations([]organisation.Terms{{Name: "a", Weight: 2, Limit: job.Capacity{CPU: cpu, MemoryMB: 6000}}, {Name: "b", Weight: 1}})
}

// actual returns what the endpoints run of organisation a.
func (m *fleetModel) actual() (c job.Capacity) {
	for _, e := range m.endpoints {
		for name := range e.running {
			if size, organisation := m.task(name); organisation == "a" {
				c = c.Plus(size)
			}
		}
	}
	return c
}

func (m *fleetModel) task(name string) (size job.Capacity, organisation string) {
	id, ref, err := job.ParseTaskName(name)
	if err != nil {
		m.Fatal(err)
	}
	j := m.jobs[id]
	return limitSize(&j.Steps[ref.Step]), j.Organisation
}

// expire ends what runs without a lease.
func (m *fleetModel) expire() {
	for _, e := range m.endpoints {
		if m.now.Before(e.leaseUntil) {
			continue
		}
		for _, name := range sortedKeys(e.running) {
			e.end(name, EndLeaseExpired)
		}
	}
}

func (e *simulatedEndpoint) end(name string, how EndReason) {
	l := e.running[name]
	delete(e.running, name)
	delete(e.stopping, name)
	e.highest[name] = max(e.highest[name], l.Run)
	e.ends++
	e.ended = append(e.ended, EndedRun{Number: e.ends, Task: name, Run: l.Run, Reason: how})
	if e.onEnd != nil {
		e.onEnd(name, how)
	}
}

// execute carries out an order if the endpoint would, and checks the limit after a start.
func (m *fleetModel) execute(o lateOrder) OrderResult {
	e := m.endpoints[o.Endpoint[1]-'0']
	if o.incarnation != e.incarnation || o.fence < e.fence || m.now.After(o.deadline) || !m.now.Before(e.leaseUntil) {
		return NotExecuted
	}
	e.fence = o.fence
	switch o.Action {
	case Stop:
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
		if l, runs := e.running[o.Task]; runs && l.Run <= o.Run {
			e.stopping[o.Task] = true
		}
	case Start:
		if l, runs := e.running[o.Task]; runs && l.Run == o.Run {
			return Accepted
		}
		if _, runs := e.running[o.Task]; runs || o.Run <= e.highest[o.Task] {
			return AlreadyEnded
		}
		e.running[o.Task] = ListedRun{Task: o.Task, Run: o.Run, Percent: 100}
		m.checkStart(o)
		if m.onStart != nil {
			m.onStart(o)
		}
	case Pace:
	}
	return Accepted
}

// checkStart checks a start against the highest limit since its order.
func (m *fleetModel) checkStart(o lateOrder) {
	size, organisation := m.task(o.Task)
	if organisation != "a" {
		return
	}
	limit := 0
	for _, cpu := range m.configurations[o.issued:] {
		limit = max(limit, cpu)
	}
	if c := m.actual(); float64(c.CPU) > 1.1*float64(limit)+float64(size.CPU) || float64(c.MemoryMB) > 1.1*6000+float64(size.MemoryMB) {
		m.Fatalf("start of %s brings %+v, above the limit of %d CPU and 6000 MB", o.Task, c, limit)
	}
}

// plan sends the orders of a plan, of which some are executed late or get no answer.
func (m *fleetModel) plan(t *rapid.T) {
	m.s.ExpireLeases(m.now)
	orders := m.s.Plan(m.now, m.now)
	counted, _ := m.s.organisations.ledger.Running("a")
	counted = counted.Plus(m.s.organisations.unseen["a"])
	if actual := m.actual(); !counted.CanFit(actual) {
		t.Fatalf("counted %+v, below what runs: %+v", counted, actual)
	}
	for _, o := range orders {
		l := lateOrder{Order: o, fence: m.owner, incarnation: m.s.endpoints[o.Endpoint].incarnation, deadline: m.now.Add(testSettings.StartTimeout), issued: len(m.configurations) - 1}
		switch rapid.SampledFrom([]string{"answered", "answered", "answered", "lost", "late", "dropped"}).Draw(t, "delivery") {
		case "answered":
			m.s.RecordOrderResult(o, m.execute(l), m.now)
		case "lost":
			m.execute(l)
			m.s.RecordOrderResult(o, Unknown, m.now)
		case "late":
			m.late = append(m.late, l)
			m.s.RecordOrderResult(o, Unknown, m.now)
		case "dropped":
			m.s.RecordOrderResult(o, Disconnected, m.now)
		}
	}
}

func (m *fleetModel) submit(t *rapid.T) {
	id := fmt.Sprintf("%016x", len(m.jobs))
	r := newRecord(id, job.Step{Count: 1})
	r.Steps = nil
	for i := range rapid.IntRange(1, 2).Draw(t, "steps") {
		st := job.Step{
			Count: rapid.IntRange(1, 4).Draw(t, "count"), CPU: 500 * rapid.IntRange(0, 6).Draw(t, "cpu"), MemoryMB: 500 * rapid.IntRange(0, 3).Draw(t, "memory"),
			AllowDuplicates: rapid.Bool().Draw(t, "duplicates"), EstimateMillis: 400,
		}
		switch rapid.IntRange(0, 4).Draw(t, "kind") {
		case 0:
			st.Gang, st.AllowDuplicates = true, false
		case 1:
			st.BestEffort = true
		case 2:
			st.LongRunning = true
		}
		if i > 0 {
			st.DependsOn = []int{0}
		}
		r.Steps = append(r.Steps, st)
	}
	r.Organisation = rapid.SampledFrom([]string{"a", "a", "b", ""}).Draw(t, "organisation")
	r.Pool = rapid.SampledFrom([]string{"p", "p", "q"}).Draw(t, "pool")
	m.add(r)
}

// add stores a job and adds it to the scheduler.
func (m *fleetModel) add(r job.Record) {
	m.jobs[r.ID] = r.Job
	r.Steps = append([]job.Step(nil), r.Steps...)
	m.store[r.ID] = r
	m.s.AddJob(r, m.now)
}

// poll renews the lease of an endpoint; its answer may be lost.
func (m *fleetModel) poll(t *rapid.T) {
	e := rapid.SampledFrom(m.endpoints).Draw(t, "endpoint")
	m.s.ExtendLease(e.id, m.now)
	sent := m.now
	m.advance(5 * time.Millisecond)
	switch rapid.IntRange(0, 4).Draw(t, "answer") {
	case 0:
		m.s.RecordUnanswered(e.id, m.now)
		return
	case 1:
		e.renew(m, sent)
		m.s.RecordUnanswered(e.id, m.now)
		return
	}
	e.renew(m, sent)
	m.s.ApplyReport(e.id, e.report(sent, m.now))
}

// report returns the answer of an endpoint to a poll.
func (e *simulatedEndpoint) report(sent, received time.Time) (r Report) {
	r = Report{SentAt: sent, ReceivedAt: received, Incarnation: e.incarnation, Ended: append([]EndedRun(nil), e.ended...)}
	for _, name := range sortedKeys(e.running) {
		r.Running = append(r.Running, e.running[name])
	}
	return r
}

// renew carries out a poll.
func (e *simulatedEndpoint) renew(m *fleetModel, sent time.Time) {
	if status, known := m.s.EndpointStatus(e.id); known {
		for len(e.ended) > 0 && e.ended[0].Number <= status.LastStoredEnd {
			if e.onAcknowledge != nil {
				e.onAcknowledge(e.ended[0])
			}
			e.ended = e.ended[1:]
		}
	}
	e.fence = max(e.fence, m.owner)
	if until := sent.Add(testSettings.Lease); until.After(e.leaseUntil) {
		e.leaseUntil = until
	}
}

func (m *fleetModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	m.expire()
}

// endRuns ends a run, or those that are being stopped.
func (m *fleetModel) endRuns(t *rapid.T) {
	e := rapid.SampledFrom(m.endpoints).Draw(t, "endpoint")
	for _, name := range sortedKeys(e.stopping) {
		e.end(name, EndStopped)
	}
	if names := sortedKeys(e.running); len(names) > 0 {
		e.end(rapid.SampledFrom(names).Draw(t, "task"), rapid.SampledFrom([]EndReason{EndDone, EndDone, EndFailed}).Draw(t, "how"))
	}
}

func (m *fleetModel) storeWrites(t *rapid.T) {
	for _, w := range m.s.Writes(m.now, 0, 5) {
		switch rapid.IntRange(0, 3).Draw(t, "write") {
		case 0:
			m.s.FailWrite(w.Record.ID)
		case 1:
			m.store[w.Record.ID] = w.Record
			m.s.FailWrite(w.Record.ID)
		default:
			m.store[w.Record.ID] = w.Record
			m.s.ConfirmWrite(w, 1)
			if m.onConfirm != nil {
				m.onConfirm(w)
			}
		}
	}
}

// actions returns what may happen to the fleet.
func (m *fleetModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit": m.submit,
		"plan":   m.plan,
		"poll":   m.poll,
		"end":    m.endRuns,
		"store":  m.storeWrites,
		"late": func(t *rapid.T) {
			if len(m.late) > 0 {
				i := rapid.IntRange(0, len(m.late)-1).Draw(t, "order")
				o := m.late[i]
				m.late = append(m.late[:i:i], m.late[i+1:]...)
				m.execute(o)
			}
		},
		"pollAll": func(t *rapid.T) {
			for range 2 * len(m.endpoints) {
				m.poll(t)
			}
		},
		"wait": func(t *rapid.T) {
			m.advance(time.Duration(rapid.SampledFrom([]int{20, 120, 1000, 3000}).Draw(t, "millis")) * time.Millisecond)
		},
		"cancel": func(t *rapid.T) {
			if len(m.jobs) > 0 {
				m.s.CancelJob(rapid.SampledFrom(sortedKeys(m.jobs)).Draw(t, "job"), m.now)
			}
		},
		"restart": func(t *rapid.T) {
			e := rapid.SampledFrom(m.endpoints).Draw(t, "endpoint")
			clear(e.running)
			clear(e.stopping)
			clear(e.highest)
			e.incarnation++
			e.ended, e.ends, e.fence, e.leaseUntil = nil, 0, 0, time.Time{}
		},
		"configure": func(t *rapid.T) { m.setLimit(1000 * rapid.IntRange(1, 9).Draw(t, "limit")) },
		"takeOver":  func(*rapid.T) { m.takeOver() },
		"handOver":  m.handOver,
	}
}
