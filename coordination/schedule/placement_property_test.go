package schedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// placementModel is the fleet of organisationModel in two data centres, under owners of which
// some are of a release that knows no data centres of jobs.
type placementModel struct {
	*organisationModel

	// known is set while the owner knows data centres of jobs, and since and latest are what
	// such owners store.
	known         bool
	since, latest int64
	// listedIn is the data centre of e0 as the owner reads it.
	listedIn string
	// confinedTo holds the data centre of each job that is not confirmed to be wide.
	confinedTo map[string]string
}

// dataCentreOf returns the data centre of an endpoint as the owner reads it. Not every owner
// knows that of one of them.
func (m *placementModel) dataCentreOf(e *simulatedEndpoint) string {
	return map[string]string{"e0": m.listedIn, "e1": "A", "e2": "B", "e3": "B", "e4": "A", "e5": "A", "e6": "B"}[e.id]
}

func newPlacementModel(t *rapid.T) *placementModel {
	m := &placementModel{organisationModel: newOrganisationModel(t)}
	for i := len(m.endpoints); i < 7; i++ {
		m.endpoints = append(m.endpoints, &simulatedEndpoint{
			id: fmt.Sprintf("e%d", i), incarnation: 1, running: make(map[string]ListedRun), stopping: make(map[string]bool), highest: make(map[string]int),
		})
	}
	m.configurations = []int{20_000}
	m.replaceOwner(t, true)
	return m
}

func (m *placementModel) replaceOwner(t *rapid.T, known bool) {
	m.listedIn = rapid.SampledFrom([]string{"A", ""}).Draw(t, "listedIn")
	limit := m.configurations[len(m.configurations)-1]
	m.owner++
	term := int64(m.owner)
	m.s = &Scheduler{Settings: testSettings}
	m.s.Settings.RunNumberBase = m.owner * 1000
	m.s.Settings.ConfineJobs = known
	m.known, m.confinedTo = known, make(map[string]string)
	if known {
		if m.latest != term-1 {
			m.since = term
		}
		m.latest = term
		m.s.Settings.Term, m.s.Settings.ConfinedSince = term, m.since
	}
	var listed []Endpoint
	for _, e := range m.endpoints {
		l := Endpoint{ID: e.id, Pool: m.pool(e), Address: e.id, DataCentre: m.dataCentreOf(e), Capacity: Capacity{CPU: 4000, MemoryMB: 4000}}
		m.s.AddSettledEndpoint(l, m.now)
		listed = append(listed, l)
	}
	for _, id := range sortedKeys(m.store) {
		r := m.store[id]
		if !known {
			r.DataCentre, r.ConfinedTerm = "", 0
		} else if r.ConfinedTerm >= m.since {
			m.confinedTo[id] = r.DataCentre
		}
		m.s.LoadJob(r, m.now)
	}
	m.s.SetEndpoints(listed, m.now)
	m.setLimit(limit)
}

func (m *placementModel) submit(t *rapid.T) {
	r := newRecord(fmt.Sprintf("%016x", len(m.jobs)), job.Step{
		Count: rapid.IntRange(1, 3).Draw(t, "count"), CPU: 1000 * rapid.IntRange(1, 4).Draw(t, "cpu"), EstimateMillis: 400,
		AllowDuplicates: rapid.IntRange(0, 4).Draw(t, "duplicates") == 0,
	})
	r.Steps[0].Gang = !r.Steps[0].AllowDuplicates && rapid.IntRange(0, 4).Draw(t, "gang") == 0
	r.Organisation = rapid.SampledFrom([]string{"a", "a", ""}).Draw(t, "organisation")
	r.Pool = rapid.SampledFrom([]string{"p", "p", "p", "q"}).Draw(t, "pool")
	if m.known {
		r.DataCentre = rapid.SampledFrom([]string{"A", "A", "B", ""}).Draw(t, "dataCentre")
	}
	if r.DataCentre != "" {
		r.ConfinedTerm = int64(m.owner)
		m.confinedTo[r.ID] = r.DataCentre
	}
	m.jobs[r.ID] = r.Job
	m.store[r.ID] = r
	m.s.AddJob(r, m.now)
}

func (m *placementModel) storeWrites(t *rapid.T) {
	for _, w := range m.s.Writes(m.now, 0, 5) {
		answer := rapid.SampledFrom([]string{"lost", "answerLost", "stored", "stored"}).Draw(t, "write")
		if answer != "lost" {
			m.store[w.Record.ID] = w.Record
		}
		if answer != "stored" {
			m.s.FailWrite(w.Record.ID)
			continue
		}
		m.s.ConfirmWrite(w, 1)
		if w.Record.DataCentre == "" {
			delete(m.confinedTo, w.Record.ID)
		}
	}
}

// serve has some of the endpoints answer, and carries out a plan.
func (m *placementModel) serve(t *rapid.T) {
	reached := rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5}).Draw(t, "reached")
	for i, e := range m.endpoints {
		if i%3 == reached {
			continue
		}
		m.s.ExtendLease(e.id, m.now)
		e.renew(m.organisationModel, m.now)
		r := Report{SentAt: m.now, ReceivedAt: m.now.Add(time.Millisecond), Incarnation: e.incarnation, Ended: append([]EndedRun(nil), e.ended...)}
		for _, name := range sortedKeys(e.running) {
			r.Running = append(r.Running, e.running[name])
		}
		m.advance(time.Millisecond)
		m.s.ApplyReport(e.id, r)
	}
	m.plan(t)
}

// check checks where the owner has started tasks, and that no task has two runs.
func (m *placementModel) check(t *rapid.T) {
	for _, e := range m.endpoints {
		known := m.s.endpoints[e.id]
		if known == nil {
			continue
		}
		for name, r := range known.runs {
			if d := m.confinedTo[r.task.job.ID]; m.known && r.adoptedAt.IsZero() && d != "" && d != m.dataCentreOf(e) {
				t.Fatalf("%s started in %q, its job is confined to %s", name, m.dataCentreOf(e), d)
			}
		}
	}
	at := make(map[string]string)
	for _, e := range m.endpoints {
		for name := range e.running {
			id, ref, _ := job.ParseTaskName(name)
			if other, runs := at[name]; runs && !m.jobs[id].Steps[ref.Step].AllowDuplicates {
				t.Fatalf("%s runs on %s and %s", name, other, e.id)
			}
			at[name] = e.id
		}
	}
}

// No sequence of owners of both releases, lost writes, unread endpoints and orders that come
// late brings a task of a confined job to another data centre before the store is known to
// have it wide, or gives a task two runs at a time.
func TestPlacementProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPlacementModel(t)
		actions := map[string]func(*rapid.T){
			"": m.check, "submit": m.submit, "plan": m.plan, "serve": m.serve, "serveMore": m.serve, "poll": m.poll, "end": m.endRuns,
			"store": m.storeWrites, "storeMore": m.storeWrites,
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
			"takeOver": func(t *rapid.T) { m.replaceOwner(t, rapid.IntRange(0, 3).Draw(t, "known") > 0) },
		}
		t.Repeat(actions)
	})
}
