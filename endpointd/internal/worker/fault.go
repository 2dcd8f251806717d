package worker

// Faults are the faults that the endpoint simulates; the zero value has none.
type Faults struct {
	// FailEveryTask makes each task fail as soon as it has started.
	FailEveryTask bool `json:"failEveryTask"`
	// Hang makes each task run until its lease ends.
	Hang bool `json:"hang"`
	// WrongSizes is the ratio of the real run time to the declared one; zero means
	// one.
	WrongSizes float64 `json:"wrongSizes"`
	// LoseAnswers closes the connection instead of answering a task request.
	LoseAnswers bool `json:"loseAnswers"`
	// TruncateAnswers sends half of the answer to a task request.
	TruncateAnswers bool `json:"truncateAnswers"`
}

// SetFaults replaces the faults; tasks that are already running keep their run
// time.
func (w *Worker) SetFaults(f Faults) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.faults = f
}

// Faults returns the current faults.
func (w *Worker) Faults() Faults {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.faults
}
