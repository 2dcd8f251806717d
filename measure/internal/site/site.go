package site

import "time"

// SlotsPerInstance is the number of tasks of one slot that an instance runs at once.
const SlotsPerInstance = 8

// InstancesPerRack is the number of instances in one rack, which fail together.
const InstancesPerRack = 4

// OneWayDelay is the one-way network delay between two data centres.
const OneWayDelay = 1400 * time.Microsecond

// ClientDelay is the network delay between a caller and an entry.
const ClientDelay = time.Millisecond

// Pool is one pool of a site and the kind of work that it runs.
type Pool struct {
	Name      string
	Instances int
	// Urgency is urgent, normal or batch.
	Urgency string
	// Spare marks the pool that runs the overflow of the other pools.
	Spare bool
}

// Site is one simulated fleet.
type Site struct {
	Name        string
	DataCentres int
	Pools       []Pool
}

// Kradan finds cover staff for cafés, which is urgent; its payroll and rota jobs
// are batch work.
var Kradan = Site{
	Name:        "kradan",
	DataCentres: 4,
	Pools: []Pool{
		{Name: "cover", Instances: 8, Urgency: "urgent"},
		{Name: "booking", Instances: 9, Urgency: "normal"},
		{Name: "rota", Instances: 11, Urgency: "batch"},
		{Name: "payroll", Instances: 12, Urgency: "batch"},
		{Name: "spare", Instances: 8, Urgency: "batch", Spare: true},
	},
}

// Windhoek runs umbrella kiosks: payments are urgent, and the reconciliation at
// night is batch work.
var Windhoek = Site{
	Name:        "windhoek",
	DataCentres: 3,
	Pools: []Pool{
		{Name: "payment", Instances: 9, Urgency: "urgent"},
		{Name: "stock", Instances: 9, Urgency: "normal"},
		{Name: "return", Instances: 11, Urgency: "normal"},
		{Name: "reconciliation", Instances: 12, Urgency: "batch"},
		{Name: "misc", Instances: 8, Urgency: "batch", Spare: true},
	},
}

// All returns both sites.
func All() []Site {
	return []Site{Kradan, Windhoek}
}
