// Package quota keeps the use of each member below its cap without a central
// counter. It does no I/O.
//
// # Allocations
//
// A cap is divided among the data centres in proportion to the slots of their
// instances (Split), and inside a data centre evenly among the pools, as far as
// their slots allow (Fill). Both are computed from the configuration alone and
// add up to the cap. The result for one pool in one data centre is the pool's
// allocation of the cap (Allocation). The quota holder of the pool, the entry that
// keeps its ledger, uses the allocation without asking any other entry. The
// division inside a data centre is not proportional because instances change
// pools often, and each change would move slots between allocations.
//
// # Loans
//
// A quota holder lends what its pool does not use, until a deadline. The lender
// counts a loan as used until the deadline plus the clock error; the borrower
// uses it only for tasks that end by the deadline minus the clock error. A quota
// holder that is cut off is left with its own allocation once its loans have
// ended. A loan is identified by member, lender, borrower and deadline: a
// repeated request has the result of the first, and a loan can be lowered but
// never raised, so that lost, repeated and reordered messages do no harm.
//
// # Versions
//
// Entries receive a configuration at different times. An allocation is therefore
// the least of those by all versions that another entry may still use, each
// computed with the newest cap. A smaller allocation applies at once to new
// tasks; tasks in flight end on their own. A version is dropped when every entry
// is known to have a later one (Confirm) and the longest use since then has
// ended (MaxUse). Raising a cap needs no such wait, because no allocation gets
// smaller when the total grows.
//
// # Guarantee
//
// At any time, the slots in use by a member are at most the largest cap among
// the configurations under which a task or loan still in effect was begun. The
// reason is that all quota holders compute their allocation from the oldest of
// these versions, among others, and with at most that cap, and that the
// allocations of one version add up to the cap. So with an unchanged cap, the
// cap is never exceeded, however instances, pools, versions and loans change.
// This assumes that clocks differ by at most the clock error, that uses end by
// their deadline (endpoints stop a task at the end of its lease), that a pool
// has one quota holder at a time, and that the version of an entry never
// decreases.
//
// # Change of the quota holder
//
// A new quota holder calls OpenPool and may use nothing until SetInheritedLoans states what
// its predecessor may have lent. The caller collects this from the other
// entries, which have records of the loans as borrowers or copies of them
// (StoreCopy, KnownLoans). Tasks of the predecessor that still run are counted
// with SetUntracked. A member whose cap is not below the slots of the whole
// fleet need not wait. The guarantee does not hold while two entries both act
// as the owner of a pool. Neither does it hold after the loss of a lender and
// of the only other entry with a record of a loan, until the loan ends.
package quota
