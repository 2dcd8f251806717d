package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/azurepoint/azurepoint/demo/internal/fleet"
)

// rebootTime is how long an endpoint of the demo takes to reboot.
const rebootTime = time.Second

// newFleet returns a fleet of six endpoints in three pools and four entries in two
// data centres.
func newFleet() (f *fleet.Fleet) {
	return &fleet.Fleet{
		RebootTime: rebootTime,
		// A move waits until the grants of stopped entries have ended; this bounds
		// the wait.
		Settings: "[dispatch]\nlongestGrant = 11s\n",
		EndpointSpecs: []fleet.EndpointSpec{
			{Name: "cover-1", DataCentre: "north", Pool: "cover"},
			{Name: "cover-2", DataCentre: "south", Pool: "cover"},
			{Name: "payroll-1", DataCentre: "north", Pool: "payroll"},
			{Name: "payroll-2", DataCentre: "south", Pool: "payroll"},
			{Name: "spare-1", DataCentre: "north", Pool: "spare"},
			{Name: "spare-2", DataCentre: "south", Pool: "spare"},
		},
		Entries: []*fleet.Entry{
			{EntrySpec: fleet.EntrySpec{Name: "north-1", DataCentre: "north"}},
			{EntrySpec: fleet.EntrySpec{Name: "north-2", DataCentre: "north"}},
			{EntrySpec: fleet.EntrySpec{Name: "south-1", DataCentre: "south"}},
			{EntrySpec: fleet.EntrySpec{Name: "south-2", DataCentre: "south"}},
		},
	}
}

// configure creates the pools, members and instances in one change.
func configure(ctx context.Context, f *fleet.Fleet) (err error) {
	var text strings.Builder
	text.WriteString("create pool cover budget 1\ncreate pool payroll budget 1\ncreate pool spare budget 1 spare\n")
	text.WriteString("create member cafes cap 32 share 3 minimum 4\ncreate member phones cap 24 share 2 minimum 2\n")
	text.WriteString("create member accounts cap 24\n")
	for _, p := range f.EndpointSpecs {
		fmt.Fprintf(&text, "add instance %s address %s dataCentre %s rack %s-r1 slots 8 pool %s\n",
			p.Name, f.Endpoints[p.Name].Addresses[0], p.DataCentre, p.DataCentre, p.Pool)
	}
	_, err = f.Operators.Run(ctx, "demo-configure", text.String())
	return err
}
