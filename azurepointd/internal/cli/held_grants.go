package cli

import (
	"sync"

	"github.com/azurepoint/azurepoint/azurepointd/internal/dispatch"
	"github.com/azurepoint/azurepoint/azurepointd/internal/platform"
	"github.com/azurepoint/azurepoint/azurepointd/internal/request"
	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// heldGrants finds the draining and releasing instances of the data centre on which
// this entry, as dispatcher or as primary, still has a grant.
type heldGrants struct {
	dataCentre string
	follower   *platform.Follower
	dispatcher *dispatch.Dispatcher
	home       *request.Service

	mu    sync.Mutex
	state *fleet.State
	// notServing caches the instances of state that are not serving. It is computed
	// once per version, because heartbeats need it several times a second.
	notServing []string
}

// instances returns the instances on which this entry still has a grant.
func (h *heldGrants) instances() (held []string) {
	for _, name := range h.instancesNotServing() {
		if h.dispatcher.InFlight(name) > 0 || h.home.Holds(name) > 0 {
			held = append(held, name)
		}
	}
	return held
}

func (h *heldGrants) instancesNotServing() (names []string) {
	state := h.follower.State()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state == state {
		return h.notServing
	}
	h.state, h.notServing = state, nil
	for name, i := range state.Instances {
		if i.DataCentre == h.dataCentre && i.Phase != fleet.Serving {
			h.notServing = append(h.notServing, name)
		}
	}
	return h.notServing
}
