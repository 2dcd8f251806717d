package site

import "time"

// SlotsPerWorker is how many tasks of size one a worker runs at once.
const SlotsPerWorker = 8

// WorkersPerRack is how many workers fail together with a rack.
const WorkersPerRack = 4

// OneWayDelay is the network delay between two data centres, one way.
const OneWayDelay = 1400 * time.Microsecond

// ClientDelay is the network delay between a caller and an entry.
const ClientDelay = time.Millisecond

// Pool is one pool of a site and the kind of work that it is for.
type Pool struct {
	Name    string
	Workers int
	// Urgency is urgent, normal or batch.
	Urgency string
	// Spare marks the pool that takes the overflow of the others.
	Spare bool
}

// Site is one of the fleets.
type Site struct {
	Name        string
	DataCentres int
	Pools       []Pool
}

// Kradan finds cover staff for cafés; payroll and rota jobs can wait.
var Kradan = Site{
	Name:        "kradan",
	DataCentres: 4,
	Pools: []Pool{
		{Name: "cover", Workers: 8, Urgency: "urgent"},
		{Name: "booking", Workers: 9, Urgency: "normal"},
		{Name: "rota", Workers: 11, Urgency: "batch"},
		{Name: "payroll", Workers: 12, Urgency: "batch"},
		{Name: "spare", Workers: 8, Urgency: "batch", Spare: true},
	},
}

// Windhoek runs umbrella kiosks; reconciliation runs at night.
var Windhoek = Site{
	Name:        "windhoek",
	DataCentres: 3,
	Pools: []Pool{
		{Name: "payment", Workers: 9, Urgency: "urgent"},
		{Name: "stock", Workers: 9, Urgency: "normal"},
		{Name: "return", Workers: 11, Urgency: "normal"},
		{Name: "reconciliation", Workers: 12, Urgency: "batch"},
		{Name: "misc", Workers: 8, Urgency: "batch", Spare: true},
	},
}

// All returns both sites.
func All() []Site {
	return []Site{Kradan, Windhoek}
}
