// Package flood measures how much throughput the other kinds of work keep while
// one kind sends too many requests. It simulates a policy under virtual time; the
// seed determines the whole run.
//
// # Model
//
// Each pool of a site is one kind of work with two members, of which the first
// sends seven in ten requests. The demand of the kinds peaks in turn: each has a
// burst of five times its mean rate for 6 s and a twentieth of it in between. A
// burst needs load times the slots of its pool. Run times are log-normal with a
// median of 1 s, limited to 0.2 s to 5 s. Declared run times are wrong by a factor
// of up to ten: at random for the first member of a pool, and always ten times too
// long or too short for the second. One request in ten takes two slots. Requests
// arrive at all data centres with equal probability.
// A flood is five times the mean rate of a kind, or of its first member, either for
// 10 s after each burst of the kind (short) or all the time (sustained). The
// other kinds send the same requests with and without the flood.
//
// A member may use at most nine tenths of the slots of its pool in the whole
// fleet; a flood reaches only the caps of the members of its own kind.
//
// # What the model leaves out
//
// Endpoints do not fail, slow down or leave, so the concurrency limits and the
// ejection of endpoints are never active. Messages take a fixed time and are never
// lost; primaries, claims and the key-value service are modelled as a delay.
// Entries do not fail or change, so no pool changes its dispatcher. Callers do not
// cancel, and do not retry after a refusal. Processor time is not measured.
package flood
