// Package maintenance decides which instances are drained next for planned
// maintenance. It is deterministic and does no I/O: it takes the configuration,
// the observed state of pools and instances and the time, and returns what to
// propose.
//
// Several entries plan concurrently, one in each data centre for each pool. They
// agree without messages, because every count is computed from the configuration;
// only the choice of the instance and of the rack within a data centre depends on
// the load that an entry observes. If entries have different versions or reach
// different data centres, the log refuses changes that would exceed a budget.
package maintenance
