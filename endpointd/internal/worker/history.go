package worker

import (
	"slices"
	"time"
)

// EventKind says what happened to a task.
type EventKind string

// Kinds of events; a checkpointed task that goes on is resumed, not started.
const (
	Started EventKind = "started"
	Resumed EventKind = "resumed"
	Ended   EventKind = "ended"
)

// Event is one line of the log of starts and ends, which survives reboots.
type Event struct {
	Task        string    `json:"task"`
	Kind        EventKind `json:"kind"`
	At          time.Time `json:"at"`
	Incarnation int64     `json:"incarnation"`
	Member      string    `json:"member,omitempty"`
	Slots       int       `json:"slots,omitempty"`
	// State, Answer and Message are the task's result, set when it ended.
	State   string `json:"state,omitempty"`
	Answer  string `json:"answer,omitempty"`
	Message string `json:"message,omitempty"`
}

// History returns every start and end so far, oldest first.
func (w *Worker) History() []Event {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.history)
}

func (w *Worker) record(e Event) {
	e.Incarnation = w.incarnation
	e.At = time.Now()
	w.history = append(w.history, e)
}
