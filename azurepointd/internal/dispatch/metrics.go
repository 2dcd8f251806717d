package dispatch

import "github.com/rcrowley/go-metrics"

// Metrics of all pools, in the default registry.
var (
	countGranted       = metrics.NewRegisteredCounter("dispatch.granted", metrics.DefaultRegistry)
	countRefused       = metrics.NewRegisteredCounter("dispatch.refused", metrics.DefaultRegistry)
	countCancelled     = metrics.NewRegisteredCounter("dispatch.cancelled", metrics.DefaultRegistry)
	countReleased      = metrics.NewRegisteredCounter("dispatch.released", metrics.DefaultRegistry)
	countEjected       = metrics.NewRegisteredCounter("dispatch.ejected", metrics.DefaultRegistry)
	countExpired       = metrics.NewRegisteredCounter("dispatch.takenBack", metrics.DefaultRegistry)
	countOverflowed    = metrics.NewRegisteredCounter("dispatch.overflowed", metrics.DefaultRegistry)
	countLentSlots     = metrics.NewRegisteredCounter("dispatch.lentSlots", metrics.DefaultRegistry)
	countBorrowedSlots = metrics.NewRegisteredCounter("dispatch.borrowedSlots", metrics.DefaultRegistry)
	gaugeQueued        = metrics.NewRegisteredGauge("dispatch.queued", metrics.DefaultRegistry)
	timerWait          = metrics.NewRegisteredTimer("dispatch.wait", metrics.DefaultRegistry)
)
