package upkeep

import "time"

// Settings are the times and bounds of the upkeep; a zero field has the value
// of DefaultSettings.
type Settings struct {
	// Interval is how often the whole state is looked at.
	Interval time.Duration
	// StatusEvery is how often a serving instance is asked for its status.
	StatusEvery time.Duration
	// ActiveEvery is the same for an instance that drains or is released.
	ActiveEvery time.Duration
	// CallTimeout bounds each call to an endpoint.
	CallTimeout time.Duration
	// ProposeTimeout bounds each proposal.
	ProposeTimeout time.Duration
	// FailAfter is for how long an instance may be silent.
	FailAfter time.Duration
	// AliveAfter is for how long a failed instance has to answer.
	AliveAfter time.Duration
	// BackWithin is for how long a reboot may take.
	BackWithin time.Duration
	// LongestGrant is the longest time for which a dispatcher gives a grant.
	LongestGrant time.Duration
	// ClockError is the largest difference between two clocks.
	ClockError time.Duration
	// Settle is for how long an entry that starts, or did not run, only watches.
	Settle time.Duration
	// StallLimit is the longest time between two looks of an entry that runs.
	StallLimit time.Duration
	// Takeover is for how long an entry has to own a pool before it acts.
	Takeover time.Duration
	// FenceAfter is when the endpoint of a granted drain is told to refuse new
	// tasks even if some entries do not know of the grant yet.
	FenceAfter time.Duration
	// Dwell is for how long an endpoint has to refuse new tasks before its
	// reboot, so that a later version that takes the grant back is heard.
	Dwell time.Duration
	// AbsentAfter is for how long another data centre's versions may stand still
	// behind the own one before its share of grants goes to the others.
	AbsentAfter time.Duration
	// ProposalsPerSecond and ProposalBurst bound the changes proposed.
	ProposalsPerSecond float64
	ProposalBurst      int
	// Calls bounds the endpoint calls at one time.
	Calls int
}

// DefaultSettings are for the sizes of section 2.5 of the design.
var DefaultSettings = Settings{
	Interval:       500 * time.Millisecond,
	StatusEvery:    5 * time.Second,
	ActiveEvery:    time.Second,
	CallTimeout:    2 * time.Second,
	ProposeTimeout: 5 * time.Second,
	// Three statuses are missed before an instance counts as failed.
	FailAfter:    15 * time.Second,
	AliveAfter:   5 * time.Second,
	BackWithin:   10 * time.Minute,
	LongestGrant: 10 * time.Minute,
	ClockError:   250 * time.Millisecond,
	Settle:       5 * time.Second,
	StallLimit:   2 * time.Second,
	Takeover:     3 * time.Second,
	// With a second for the version to arrive and a second for another entry to
	// step in, an endpoint refuses new work within the 5 s of section 8.
	FenceAfter:         2 * time.Second,
	Dwell:              2 * time.Second,
	AbsentAfter:        30 * time.Second,
	ProposalsPerSecond: 2,
	ProposalBurst:      5,
	Calls:              64,
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings
	set(&s.Interval, d.Interval)
	set(&s.StatusEvery, d.StatusEvery)
	set(&s.ActiveEvery, d.ActiveEvery)
	set(&s.CallTimeout, d.CallTimeout)
	set(&s.ProposeTimeout, d.ProposeTimeout)
	set(&s.FailAfter, d.FailAfter)
	set(&s.AliveAfter, d.AliveAfter)
	set(&s.BackWithin, d.BackWithin)
	set(&s.LongestGrant, d.LongestGrant)
	set(&s.ClockError, d.ClockError)
	set(&s.Settle, d.Settle)
	set(&s.StallLimit, d.StallLimit)
	set(&s.Takeover, d.Takeover)
	set(&s.FenceAfter, d.FenceAfter)
	set(&s.Dwell, d.Dwell)
	set(&s.AbsentAfter, d.AbsentAfter)
	set(&s.ProposalsPerSecond, d.ProposalsPerSecond)
	set(&s.ProposalBurst, d.ProposalBurst)
	set(&s.Calls, d.Calls)
	return s
}

func set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
