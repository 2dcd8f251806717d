package schedule

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/duration"
	"github.com/azurepoint/azurepoint/coordination/job"
)

// JobSummary is what the scheduler expects of an unfinished job, for operators.
type JobSummary struct {
	Job          string      `json:"job"`
	Queue        string      `json:"queue"`
	Pool         string      `json:"pool"`
	Organisation string      `json:"organisation,omitempty"`
	State        job.State   `json:"state"`
	Steps        []StepTimes `json:"steps"`
	// QueueTimes is what a task of the queue with a typical declared estimate is expected to take,
	// nil if no run of the queue has ended.
	QueueTimes *duration.Times `json:"queueTimes,omitempty"`
	// StartsInMillis is when a job that has not started is expected to, and EndsInMillis when a
	// job is expected to end, by the work ahead of it in its pool.
	StartsInMillis *int64 `json:"startsInMillis,omitempty"`
	EndsInMillis   *int64 `json:"endsInMillis,omitempty"`
	// Reason is why these times are not known: "long-running", "limit" while the limit
	// of the organisation holds the job back, or "no endpoints" of the pool are in service.
	Reason string `json:"reason,omitempty"`
}

// StepTimes is what a task of a step is expected to take.
type StepTimes struct {
	Tasks   int `json:"tasks"`
	Done    int `json:"done"`
	Running int `json:"running"`
	duration.Times
}

// DescribeJob returns what is expected of an unfinished job; known is false if there is none. Starts
// is the number of starts a second that the owner can send, or 0 if that is not the limit.
func (s *Scheduler) DescribeJob(id string, starts float64, now time.Time) (summary JobSummary, known bool) {
	j := s.jobs[id]
	if j == nil || j.state.Terminal() {
		return JobSummary{}, false
	}
	s.init()
	summary = JobSummary{Job: id, Queue: j.Queue, Pool: j.Pool, Organisation: j.Organisation, State: j.state}
	if d, learned := s.durations.estimator.Typical(j.Queue); learned {
		times := d.Times()
		summary.QueueTimes = &times
	}
	limited := false
	for i := range j.Steps {
		times := StepTimes{Times: s.times(j, i)}
		times.Tasks, times.Done = j.occurrences.total*j.Steps[i].Count, j.countFinished()*j.Steps[i].Count
		limited = limited || !j.started && j.occurrences.untouched > 0 && len(j.Steps[i].DependsOn) == 0 && s.limited(j, &j.Steps[i])
		for _, o := range j.occurrences.items {
			st := o.steps[i]
			times.Done, times.Running = times.Done+st.done, times.Running+st.running
			limited = limited || !j.started && st.dependenciesDone() && s.limited(j, st.step)
		}
		summary.Steps = append(summary.Steps, times)
	}
	s.updateBacklogs(starts, now)
	switch {
	case j.longRunning():
		summary.Reason = "long-running"
	case limited:
		summary.Reason = "limit"
	case s.admissions.backlogs[j.Pool] == nil:
		summary.Reason = "no endpoints"
	default:
		summary.addTurn(s.turnOf(j, now), now)
	}
	return summary, true
}

// times returns what a task of a step is expected to take.
func (s *Scheduler) times(j *jobState, step int) (t duration.Times) {
	if !s.Settings.MeanDurations {
		return s.distribution(j, step).Times()
	}
	t = duration.Times{MedianMillis: int64(s.expected(j, step)), Basis: duration.Basis{Key: "mean"}}
	if d := s.durationEstimates[j.Queue]; d != nil {
		t.Runs = d.count
	}
	t.P90Millis = t.MedianMillis
	return t
}

// limited reports whether the limit of the organisation holds a task of the step back.
func (s *Scheduler) limited(j *jobState, st *job.Step) bool {
	o, name := &s.organisations, j.Organisation
	return name != "" && o.ledger.Active() && !o.ledger.MayStart(name, limitSize(st), 1, o.unseen[name])
}

// turnOf returns the turn of a job that is not long-running, in a pool with endpoints.
func (s *Scheduler) turnOf(j *jobState, now time.Time) (own turn) {
	for _, t := range s.turns(j.Pool, now) {
		if t.job == j {
			own = t
		}
	}
	return own
}

func (summary *JobSummary) addTurn(t turn, now time.Time) {
	if !t.job.started {
		starts := t.startsAt.Sub(now).Milliseconds()
		summary.StartsInMillis = &starts
	}
	ends := t.endsAt.Sub(now).Milliseconds()
	summary.EndsInMillis = &ends
}
