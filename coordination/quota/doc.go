// Package quota keeps the use of each member below its cap without a central
// count. It does no I/O.
//
// # Parts
//
// A cap is divided among the data centres in proportion to the slots of their
// instances (Split), and inside a data centre evenly among the pools, as far as
// their slots go (Fill). Both are computed from the configuration alone and add
// up to the cap. A holder is one pool in one data centre; its dispatcher uses
// its part without asking anybody. The inner division is not proportional
// because instances change pools often, and each change would move parts
// between holders.
//
// # Loans
//
// A holder lends what it does not use, under a deadline. The lender counts a
// loan as used until the deadline plus the clock error; the borrower lets only
// such tasks run on it that end by the deadline minus the clock error. A holder
// that is cut off is left with its part when its loans end. A loan is
// identified by member, lender, borrower and deadline: a repeated request has
// the result of the first, and a loan can be lowered but never raised, so lost,
// repeated and reordered messages do no harm.
//
// # Versions
//
// Entries learn a configuration at different times. A part is therefore the
// least of the parts by all divisions that another entry may still go by, each
// of the newest cap. A smaller part counts at once for new tasks; tasks in
// flight end on their own. A division is forgotten when every entry is known to
// have a later version (Confirm) and the longest use since then has ended
// (Hold). Raising a cap needs no such wait, because no part gets smaller when
// the total grows.
//
// # Guarantee
//
// At any time, the slots in use by a member are at most the largest cap among
// the configurations under which a task or loan still in effect was begun. The
// reason is that all holders compute their part from the oldest of these
// divisions, among others, and with at most that cap, and the parts of one
// division add up to the cap. So with an unchanged cap, the cap is never
// exceeded, however instances, pools, versions and loans change. It takes that
// clocks differ by at most the clock error, that uses end by their deadline
// (endpoints stop a task at the end of its lease), that a holder's books have
// one keeper at a time, and that an entry's version never falls.
//
// # Change of keeper
//
// A new keeper starts with Open and may use nothing until Settle tells what may
// be lent by its predecessor; the caller finds that out from the other entries,
// which know of the loans as borrowers or by a copy (Mirror, Known). Tasks of
// the predecessor that still run are counted with SetForeign. A member whose
// cap is not below the slots of the whole fleet need not wait. Two entries that
// both believe they own a pool break the guarantee for as long as they do, and
// so does the loss of a lender and of the only other entry that knows of a loan
// until the loan ends.
package quota
