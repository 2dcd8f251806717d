package worker

// Faults are the faults that the endpoint shows; the zero value has none.
type Faults struct {
	// FailEveryTask makes each task fail as soon as it has started.
	FailEveryTask bool `json:"failEveryTask"`
	// Hang makes each task run until its lease ends.
	Hang bool `json:"hang"`
	// WrongSizes is the real run time divided by the declared one; zero is one.
	WrongSizes float64 `json:"wrongSizes"`
	// LoseAnswers closes the connection instead of answering for a task.
	LoseAnswers bool `json:"loseAnswers"`
	// TruncateAnswers sends half of the answer for a task.
	TruncateAnswers bool `json:"truncateAnswers"`
}

// SetFaults replaces the faults; tasks that already run keep their run time.
func (w *Worker) SetFaults(f Faults) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.faults = f
}

// Faults returns the faults in force.
func (w *Worker) Faults() Faults {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.faults
}
