package worker

import (
	"slices"
	"time"
)

// EventKind is the kind of an event of a task.
type EventKind string

// Kinds of events. A checkpointed task that continues is resumed, not started.
const (
	Started EventKind = "started"
	Resumed EventKind = "resumed"
	Ended   EventKind = "ended"
)

// Event is one entry of the history of task starts and ends, which is kept across
// reboots.
type Event struct {
	Task        string    `json:"task"`
	Kind        EventKind `json:"kind"`
	At          time.Time `json:"at"`
	Incarnation int64     `json:"incarnation"`
	Member      string    `json:"member,omitempty"`
	Slots       int       `json:"slots,omitempty"`
	// State, Answer and Message are the result of the task, set when it has ended.
	State   string `json:"state,omitempty"`
	Answer  string `json:"answer,omitempty"`
	Message string `json:"message,omitempty"`
}

// History returns all events so far, oldest first.
func (w *Worker) History() []Event {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.history)
}

func (w *Worker) recordEvent(e Event) {
	e.Incarnation = w.incarnation
	e.At = time.Now()
	w.history = append(w.history, e)
}
