package standin

import (
	"context"

	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/manager"
)

// Directory is a fixed list of endpoints.
type Directory []schedule.Endpoint

// Follow passes the list on once.
func (d Directory) Follow(ctx context.Context, reset func(listed []schedule.Endpoint), _ func(manager.ListChange)) <-chan error {
	reset(d)
	ended := make(chan error, 1)
	go func() {
		<-ctx.Done()
		ended <- nil
	}()
	return ended
}

// Machines has no instances and refuses all orders.
type Machines struct{}

// List returns no instances.
func (Machines) List(context.Context) (instances []manager.Instance, err error) {
	return nil, nil
}

// Maintain refuses the order.
func (Machines) Maintain(context.Context, manager.InstanceOrder) (answer manager.InstanceOrderResult, err error) {
	return manager.InstanceOrderRefused, nil
}

// Move refuses the order.
func (Machines) Move(context.Context, manager.InstanceOrder) (answer manager.InstanceOrderResult, err error) {
	return manager.InstanceOrderRefused, nil
}
