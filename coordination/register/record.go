package register

import (
	"slices"
	"time"
)

// Digest is a hash of the content of a request.
type Digest string

// Attempt is one task that was created for a request.
type Attempt struct {
	Task string
	// Endpoint and Address identify the instance that the task is sent to.
	Endpoint string
	Address  string
	// LeaseUntil is when the endpoint stops the task.
	LeaseUntil time.Time
	// NotStarted is set once it is certain that the task never starts.
	NotStarted bool
}

// Record holds the claims and the outcome of one key at an entry.
type Record struct {
	Key Key
	// Digest is empty at the backup, which does not receive the request itself.
	Digest   Digest
	Attempts []Attempt
	// Fenced is set once further claims are refused.
	Fenced  bool
	Outcome Outcome
	// KeepUntil is when the record is reduced to the fact that its key was used.
	KeepUntil time.Time
}

// OpenAttempts returns the attempts that may have started.
func (r Record) OpenAttempts() (open []Attempt) {
	for _, a := range r.Attempts {
		if !a.NotStarted {
			open = append(open, a)
		}
	}
	return open
}

func (r Record) clone() Record {
	r.Attempts = slices.Clone(r.Attempts)
	return r
}

// textBytes returns the size of the strings whose length varies between records.
func (r Record) textBytes() (size int) {
	size = len(r.Outcome.Answer) + len(r.Outcome.Reason)
	for _, a := range r.Attempts {
		size += len(a.Task) + len(a.Endpoint) + len(a.Address)
	}
	return size
}
