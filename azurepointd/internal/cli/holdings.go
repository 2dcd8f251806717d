package cli

import (
	"sync"

	"github.com/azurepoint/azurepoint/azurepointd/internal/dispatch"
	"github.com/azurepoint/azurepoint/azurepointd/internal/home"
	"github.com/azurepoint/azurepoint/azurepointd/internal/platform"
	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// holdings tells which draining and releasing instances of the data centre still
// have a grant here.
type holdings struct {
	dataCentre string
	follower   *platform.Follower
	dispatcher *dispatch.Dispatcher
	home       *home.Home

	mu    sync.Mutex
	state *fleet.State
	// away are the instances of the state that get no new work; they are found
	// once for each version, because heartbeats ask several times a second.
	away []string
}

// held returns the instances for which this entry has a grant.
func (h *holdings) held() (instances []string) {
	for _, name := range h.awayInstances() {
		if h.dispatcher.InFlight(name) > 0 || h.home.Holds(name) > 0 {
			instances = append(instances, name)
		}
	}
	return instances
}

func (h *holdings) awayInstances() (names []string) {
	state := h.follower.State()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state == state {
		return h.away
	}
	h.state, h.away = state, nil
	for name, i := range state.Instances {
		if i.DataCentre == h.dataCentre && i.Phase != fleet.Serving {
			h.away = append(h.away, name)
		}
	}
	return h.away
}
