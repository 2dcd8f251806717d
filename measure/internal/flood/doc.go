// Package flood measures what the other kinds of work keep while one kind
// floods. It runs a policy against small fakes under virtual time; a run is
// determined by its seed.
//
// # Model
//
// Each pool of a site is one kind of work with two members, of which the first
// sends seven in ten requests. The queues burst in turn: each one asks five
// times its mean for 6 s and a twentieth in between. A burst asks for load times
// the slots of its pool. Run times are log-normal with a median of 1 s, cut to
// 0.2 s to 5 s; the declared ones are off by up to ten times, for the first
// member of a pool at random and for the second always in the same direction.
// One request in ten takes two slots. Requests arrive in all data centres alike.
// A flood is five times the mean of a kind, or of its first member, either for
// 10 s after each burst of the kind (short) or all the time (sustained). The
// other kinds have the same requests with and without the flood.
//
// A member may use at most nine tenths of the slots of its pool in the whole
// fleet; its cap is the only one that a flood of its own kind reaches.
//
// # What the model leaves out
//
// Endpoints neither fail nor slow down nor leave, so the concurrency limits and
// the ejection of endpoints have nothing to do. Messages take a fixed time and
// are never lost; homes, claims and the key-value service are a delay. Entries
// neither fail nor change, so no pool is taken over. Callers neither cancel nor
// ask again after a refusal. Processor time is not measured.
package flood
