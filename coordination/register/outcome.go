package register

// State is the recorded state of a request.
type State string

// States of a request. Done and NotRun are final.
const (
	Pending State = "pending"
	Done    State = "done"
	NotRun  State = "notRun"
	Unknown State = "unknown"
)

// Outcome is the result of a request as it is returned to its caller.
type Outcome struct {
	State  State
	Reason string
	// Answer is the complete answer, set only if the state is Done.
	Answer string
}

// Final reports whether the outcome can no longer change.
func (o Outcome) Final() bool {
	return o.State == Done || o.State == NotRun
}

// Reasons of outcomes that the register itself decides.
const (
	ReasonExpired  = "the key has expired"
	ReasonDeadline = "the deadline has passed"
	ReasonFull     = "the entry holds too many open requests"
	ReasonRetired  = "the outcome is no longer kept"
)

func notRunOutcome(reason string) Outcome {
	return Outcome{State: NotRun, Reason: reason}
}

func retiredOutcome() Outcome {
	return Outcome{State: Unknown, Reason: ReasonRetired}
}
