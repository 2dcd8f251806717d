package manager

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/organisation"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/meter"
)

// newOrganisationManager returns a manager of one endpoint and a job of each organisation.
func newOrganisationManager(organisations int) (m *Manager, terms []organisation.Terms) {
	m = &Manager{Term: Term{Number: 1, Confirmed: func() bool { return true }, Lost: func() {}}}
	m.scheduler.OnOrganisationLimit = logOrganisationLimit
	m.scheduler.Settings = m.Settings.schedulerSettings(1)
	now := time.Now()
	m.scheduler.SetEndpoints([]schedule.Endpoint{{ID: "e", Pool: "p", Capacity: job.Capacity{CPU: 100_000}}}, now)
	m.scheduler.ApplyReport("e", schedule.Report{SentAt: now, ReceivedAt: now, Incarnation: 1})
	for i := range organisations {
		name := fmt.Sprintf("o%02d", i)
		terms = append(terms, organisation.Terms{Name: name, Weight: 1, Limit: job.Capacity{CPU: 1000}})
		m.scheduler.AddJob(job.Record{Job: job.Job{
			ID: fmt.Sprintf("%016x", i), Pool: "p", Organisation: name, Steps: []job.Step{{Count: 3, CPU: 1000}},
		}, State: job.Queued}, now)
	}
	return m, terms
}

// Guards against starts before the limits are known: an owner may take the pools over before
// it has read the configuration.
func TestNoStartsWithoutTerms(t *testing.T) {
	m, terms := newOrganisationManager(1)
	known := false
	m.Organisations = func() ([]organisation.Terms, bool) { return terms, known }
	if orders := m.dueOrders(); len(orders) > 0 {
		t.Errorf("orders %v without a configuration", orders)
	}
	known = true
	if orders := m.dueOrders(); len(orders) != 1 {
		t.Errorf("orders %v, want one start within the limit", orders)
	}
}

// Guards against metrics of more than the organisations that use most, and against held starts
// that are not counted.
func TestOrganisationMetrics(t *testing.T) {
	m, terms := newOrganisationManager(maxMeteredOrganisations + 5)
	m.Organisations = func() ([]organisation.Terms, bool) { return terms, true }
	m.dueOrders()
	m.usesMeteredAt = time.Time{}
	m.dueOrders()
	w := httptest.NewRecorder()
	meter.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	text := strings.Join(strings.Fields(w.Body.String()), " ")
	for _, want := range []string{
		"gauge organisation.o00.runningCpu value: 1000", "gauge organisation.o00.waitingTasks value: 2",
		"gauge organisation.o19.limitCpu value: 1000", "counter organisations.startsHeld count: 25", "counter organisations.limitReached count: ",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in %s", want, text)
		}
	}
	if got := strings.Count(text, ".runningCpu"); got != maxMeteredOrganisations {
		t.Errorf("%d organisations have metrics, want %d", got, maxMeteredOrganisations)
	}
}
