package dispatch

import "github.com/rcrowley/go-metrics"

// Metrics of all pools of this entry.
var (
	granted       = metrics.NewRegisteredCounter("dispatch.granted", metrics.DefaultRegistry)
	refusals      = metrics.NewRegisteredCounter("dispatch.refused", metrics.DefaultRegistry)
	cancelled     = metrics.NewRegisteredCounter("dispatch.cancelled", metrics.DefaultRegistry)
	released      = metrics.NewRegisteredCounter("dispatch.released", metrics.DefaultRegistry)
	ejections     = metrics.NewRegisteredCounter("dispatch.ejected", metrics.DefaultRegistry)
	takenBack     = metrics.NewRegisteredCounter("dispatch.takenBack", metrics.DefaultRegistry)
	overflowed    = metrics.NewRegisteredCounter("dispatch.overflowed", metrics.DefaultRegistry)
	lent          = metrics.NewRegisteredCounter("dispatch.lentSlots", metrics.DefaultRegistry)
	borrowedSlots = metrics.NewRegisteredCounter("dispatch.borrowedSlots", metrics.DefaultRegistry)
	queued        = metrics.NewRegisteredGauge("dispatch.queued", metrics.DefaultRegistry)
	waited        = metrics.NewRegisteredTimer("dispatch.wait", metrics.DefaultRegistry)
)
