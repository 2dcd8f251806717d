package register

// State is what is known of a request.
type State string

// States of a request; done and notRun never change.
const (
	Pending State = "pending"
	Done    State = "done"
	NotRun  State = "notRun"
	Unknown State = "unknown"
)

// Outcome is what a caller is told of its request.
type Outcome struct {
	State  State
	Reason string
	// Answer is the whole answer of a request that is done.
	Answer string
}

// Final tells whether the outcome never changes.
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

func notRun(reason string) Outcome {
	return Outcome{State: NotRun, Reason: reason}
}

func retired() Outcome {
	return Outcome{State: Unknown, Reason: ReasonRetired}
}
