// Package maintenance decides which instances planned maintenance may drain
// next. It is deterministic and does no I/O: it takes the configuration, what
// an entry sees beyond it and the time, and returns what to propose.
//
// Several entries plan at once, one in each data centre for each pool. They
// agree without messages because every count is computed from the
// configuration; only the choice of the instance and of the rack inside a data
// centre depends on the load that an entry sees. Where entries differ in the
// version or in the data centres that they hear, the log refuses what would
// overspend a budget.
package maintenance
