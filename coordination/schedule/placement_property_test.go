package schedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// placementModel is the fleet of fleetModel in two data centres, under owners of which some are
// of a release without data centres of jobs.
type placementModel struct {
	*fleetModel

	// confines is set while the owner confines jobs, and since and latest are what such owners
	// store.
	confines      bool
	since, latest int64
	// confinedTo holds the data centre of each job that is not confirmed to be wide.
	confinedTo map[string]string
}

func newPlacementModel(t *rapid.T) *placementModel {
	m := &placementModel{fleetModel: newFleetModel(t, 7)}
	m.dataCentres = map[string]string{"e1": "A", "e2": "B", "e3": "B", "e4": "A", "e5": "A", "e6": "B"}
	m.configurations = []int{20_000}
	m.prepare, m.load = m.prepareOwner, m.loadJob
	m.onConfirm = func(w Write) {
		if w.Record.DataCentre == "" {
			delete(m.confinedTo, w.Record.ID)
		}
	}
	m.replaceOwner(t, true)
	return m
}

// replaceOwner makes another owner take over. Not every owner has read the data centre of e0.
func (m *placementModel) replaceOwner(t *rapid.T, confines bool) {
	m.dataCentres["e0"] = rapid.SampledFrom([]string{"A", ""}).Draw(t, "listedIn")
	m.confines, m.confinedTo = confines, make(map[string]string)
	m.takeOver()
}

func (m *placementModel) prepareOwner(s *Settings) {
	s.ConfineJobs = m.confines
	if !m.confines {
		return
	}
	term := int64(m.owner)
	if m.latest != term-1 {
		m.since = term
	}
	m.latest = term
	s.Term, s.ConfinedSince = term, m.since
}

// loadJob removes what an owner of the other release does not read from a record.
func (m *placementModel) loadJob(r *job.Record) {
	if !m.confines {
		r.DataCentre, r.ConfinedTerm = "", 0
	} else if r.ConfinedTerm >= m.since {
		m.confinedTo[r.ID] = r.DataCentre
	}
}

func (m *placementModel) submit(t *rapid.T) {
	r := newRecord(fmt.Sprintf("%016x", len(m.jobs)), job.Step{
		Count: rapid.IntRange(1, 3).Draw(t, "count"), CPU: 1000 * rapid.IntRange(1, 4).Draw(t, "cpu"), EstimateMillis: 400,
		AllowDuplicates: rapid.IntRange(0, 4).Draw(t, "duplicates") == 0,
	})
	r.Steps[0].Gang = !r.Steps[0].AllowDuplicates && rapid.IntRange(0, 4).Draw(t, "gang") == 0
	r.Organisation = rapid.SampledFrom([]string{"a", "a", ""}).Draw(t, "organisation")
	r.Pool = rapid.SampledFrom([]string{"p", "p", "p", "q"}).Draw(t, "pool")
	if m.confines {
		r.DataCentre = rapid.SampledFrom([]string{"A", "A", "B", ""}).Draw(t, "dataCentre")
	}
	if r.DataCentre != "" {
		r.ConfinedTerm = int64(m.owner)
		m.confinedTo[r.ID] = r.DataCentre
	}
	m.add(r)
}

// serve has some of the endpoints answer, and carries out a plan.
func (m *placementModel) serve(t *rapid.T) {
	reached := rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5}).Draw(t, "reached")
	for i, e := range m.endpoints {
		if i%3 == reached {
			continue
		}
		m.s.ExtendLease(e.id, m.now)
		e.renew(m.fleetModel, m.now)
		r := e.report(m.now, m.now.Add(time.Millisecond))
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
			if d := m.confinedTo[r.task.job.ID]; m.confines && r.adoptedAt.IsZero() && d != "" && d != m.dataCentres[e.id] {
				t.Fatalf("%s started in %q, its job is confined to %s", name, m.dataCentres[e.id], d)
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
		actions := m.actions()
		for _, name := range []string{"restart", "configure", "handOver"} {
			delete(actions, name)
		}
		actions[""], actions["submit"], actions["serve"], actions["serveMore"] = m.check, m.submit, m.serve, m.serve
		actions["storeMore"] = m.storeWrites
		actions["takeOver"] = func(t *rapid.T) { m.replaceOwner(t, rapid.IntRange(0, 3).Draw(t, "confines") > 0) }
		t.Repeat(actions)
	})
}
