package reconcile

import "time"

// Settings holds the intervals, timeouts and limits of maintenance. A zero field takes
// its value from DefaultSettings.
type Settings struct {
	// ReconcileInterval is how often the configuration and the observed state are
	// compared when no new version arrives.
	ReconcileInterval time.Duration
	// StatusInterval is how often the status of a serving instance is requested.
	StatusInterval time.Duration
	// ActiveStatusInterval is how often the status of a draining, releasing or failed
	// instance is requested.
	ActiveStatusInterval time.Duration
	// CallTimeout bounds each call to an endpoint.
	CallTimeout time.Duration
	// ProposeTimeout bounds each proposal.
	ProposeTimeout time.Duration
	// FailureTimeout is how long an instance may be silent before it counts as failed.
	FailureTimeout time.Duration
	// RecoveryDelay is how long a failed instance has to answer without a gap before it
	// is marked alive.
	RecoveryDelay time.Duration
	// RebootTimeout is how long a reboot may take.
	RebootTimeout time.Duration
	// MaxGrantDuration is the longest duration of a grant.
	MaxGrantDuration time.Duration
	// ClockError is the largest difference between two clocks.
	ClockError time.Duration
	// SettleDelay is how long an entry only observes after its start or a stall.
	SettleDelay time.Duration
	// StallThreshold is the longest time between two reconciliations of an entry that
	// runs; after a longer gap the entry counts as stalled.
	StallThreshold time.Duration
	// TakeoverDelay is how long an entry has to own a pool before it acts.
	TakeoverDelay time.Duration
	// FenceDelay is when the endpoint of a granted drain is told to refuse new tasks
	// even if some entries do not have the version of the grant yet.
	FenceDelay time.Duration
	// MinDrainingTime is how long an endpoint has to refuse new tasks before its
	// reboot, so that a later version that cancels the drain arrives in time.
	MinDrainingTime time.Duration
	// AbsenceTimeout is how long the versions of another data centre may stand still
	// behind the own one before its share of grants goes to the others.
	AbsenceTimeout time.Duration
	// ProposalsPerSecond and ProposalBurst limit the rate of proposed changes.
	ProposalsPerSecond float64
	ProposalBurst      int
	// MaxConcurrentCalls is the number of pending endpoint calls at which no further
	// status call starts. Calls that advance a drain or a move start in any case.
	MaxConcurrentCalls int
}

// DefaultSettings fits the fleet sizes in section 2.5 of the design.
var DefaultSettings = Settings{
	ReconcileInterval:    500 * time.Millisecond,
	StatusInterval:       5 * time.Second,
	ActiveStatusInterval: time.Second,
	CallTimeout:          2 * time.Second,
	ProposeTimeout:       5 * time.Second,
	// An instance misses three statuses before it counts as failed.
	FailureTimeout:   15 * time.Second,
	RecoveryDelay:    5 * time.Second,
	RebootTimeout:    10 * time.Minute,
	MaxGrantDuration: 10 * time.Minute,
	ClockError:       250 * time.Millisecond,
	SettleDelay:      5 * time.Second,
	StallThreshold:   2 * time.Second,
	TakeoverDelay:    3 * time.Second,
	// With one second for the version to arrive and one second for another entry to
	// step in, an endpoint refuses new work within 5 s, as section 8 of
	// the design requires.
	FenceDelay:         2 * time.Second,
	MinDrainingTime:    2 * time.Second,
	AbsenceTimeout:     30 * time.Second,
	ProposalsPerSecond: 2,
	ProposalBurst:      5,
	MaxConcurrentCalls: 64,
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings
	setDefault(&s.ReconcileInterval, d.ReconcileInterval)
	setDefault(&s.StatusInterval, d.StatusInterval)
	setDefault(&s.ActiveStatusInterval, d.ActiveStatusInterval)
	setDefault(&s.CallTimeout, d.CallTimeout)
	setDefault(&s.ProposeTimeout, d.ProposeTimeout)
	setDefault(&s.FailureTimeout, d.FailureTimeout)
	setDefault(&s.RecoveryDelay, d.RecoveryDelay)
	setDefault(&s.RebootTimeout, d.RebootTimeout)
	setDefault(&s.MaxGrantDuration, d.MaxGrantDuration)
	setDefault(&s.ClockError, d.ClockError)
	setDefault(&s.SettleDelay, d.SettleDelay)
	setDefault(&s.StallThreshold, d.StallThreshold)
	setDefault(&s.TakeoverDelay, d.TakeoverDelay)
	setDefault(&s.FenceDelay, d.FenceDelay)
	setDefault(&s.MinDrainingTime, d.MinDrainingTime)
	setDefault(&s.AbsenceTimeout, d.AbsenceTimeout)
	setDefault(&s.ProposalsPerSecond, d.ProposalsPerSecond)
	setDefault(&s.ProposalBurst, d.ProposalBurst)
	setDefault(&s.MaxConcurrentCalls, d.MaxConcurrentCalls)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
