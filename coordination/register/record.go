package register

import (
	"slices"
	"time"
)

// Digest identifies the content of a request.
type Digest string

// Attempt is one task that was made for a request.
type Attempt struct {
	Task string
	// Endpoint and Address are the instance that the task is for.
	Endpoint string
	Address  string
	// LeaseUntil is when the endpoint stops the task.
	LeaseUntil time.Time
	// NotStarted is set once the task is known never to start.
	NotStarted bool
}

// Record is what an entry knows of one key.
type Record struct {
	Key Key
	// Digest is empty at the backup, which never sees the request.
	Digest   Digest
	Attempts []Attempt
	// Fenced is set once no further attempt may be claimed.
	Fenced  bool
	Outcome Outcome
	// KeepUntil is when only the fact that the key was used remains.
	KeepUntil time.Time
}

// Open returns the attempts that may have started.
func (r Record) Open() (open []Attempt) {
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

// bytes is the memory of the texts that differ in length between records.
func (r Record) bytes() (size int) {
	size = len(r.Outcome.Answer) + len(r.Outcome.Reason)
	for _, a := range r.Attempts {
		size += len(a.Task) + len(a.Endpoint) + len(a.Address)
	}
	return size
}
