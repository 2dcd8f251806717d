package manager

import (
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/schedule"
)

// Guards against jobs of a previous owner waiting for the leases of endpoints that
// ended long ago: after moves the stored record had 470 endpoints of 349 instances,
// and no such job ran for 6 s after a takeover. An endpoint counts as ended only if
// the machine service and the endpoint list agree.
func TestReplacedEndpointsAreRemoved(t *testing.T) {
	m := &Manager{}
	now := time.Now()
	for _, id := range []string{"moved", "off", "away", "lagging", "cut", "listed"} {
		m.scheduler.AddInheritedEndpoint(schedule.Endpoint{ID: id, Pool: "p", Instance: "m-" + id}, now)
	}
	m.removeReplacedEndpoints([]Instance{{Name: "m-moved", Pool: "q", Up: true, Endpoint: "new"}}, "spare")
	if _, known := m.scheduler.EndpointStatus("moved"); !known {
		t.Fatal("an endpoint counts as ended before the list is known")
	}
	m.latestList = []schedule.Endpoint{{ID: "new", Pool: "q", Instance: "m-moved"}, {ID: "listed", Pool: "p", Instance: "m-listed"}}
	m.scheduler.SetEndpoints(m.latestList[1:], now)
	m.removeReplacedEndpoints([]Instance{
		{Name: "m-moved", Pool: "q", Up: true, Endpoint: "new"},
		{Name: "m-off", Pool: "spare", Up: true},
		{Name: "m-away", Pool: "spare"},
		{Name: "m-lagging", Pool: "q", Up: true, Endpoint: "unlisted"},
		{Name: "m-cut", Pool: "p", Up: true, Endpoint: "cut"},
		{Name: "m-listed", Pool: "p", Up: true, Endpoint: "other"},
	}, "spare")
	for id, want := range map[string]bool{"moved": false, "off": false, "away": true, "lagging": true, "cut": true, "listed": true} {
		if _, known := m.scheduler.EndpointStatus(id); known != want {
			t.Errorf("endpoint %s is known: %v, want %v", id, known, want)
		}
	}
}
