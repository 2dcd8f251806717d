package schedule

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/input"
	"github.com/azurepoint/azurepoint/coordination/job"
)

// Handover is the state of the runs that an owner which has stopped hands over. Its successor waits for no
// endpoint to report but the unread ones: a task that is not named has no run elsewhere.
type Handover struct {
	// Endpoints are those with runs that may be active, and the unread ones.
	Endpoints []HandedEndpoint `json:"endpoints,omitempty"`
	// Jobs are those whose records the owner has changed and not stored.
	Jobs []HandedJob `json:"jobs,omitempty"`
	// Checkpoints holds the last checkpoints of unfinished tasks by task name.
	Checkpoints map[string]string `json:"checkpoints,omitempty"`
}

// HandedEndpoint is an endpoint with the runs that may be active there.
type HandedEndpoint struct {
	ID       string `json:"id"`
	Pool     string `json:"pool,omitempty"`
	Instance string `json:"instance,omitempty"`
	// Unread is set if there may be runs that the owner has not read.
	Unread bool `json:"unread,omitempty"`
	// LeaseMillis is how long after the handover every lease there has ended.
	LeaseMillis int64       `json:"leaseMillis,omitempty"`
	Incarnation int64       `json:"incarnation,omitempty"`
	Runs        []HandedRun `json:"runs,omitempty"`
}

// HandedRun is a run that may be active.
type HandedRun struct {
	Task string `json:"task"`
	Run  int    `json:"run"`
	// Started is set if the endpoint has started the run, and LivedMillis is how long it is
	// known to have been active since.
	Started     bool  `json:"started,omitempty"`
	LivedMillis int64 `json:"livedMillis,omitempty"`
	AgeMillis   int64 `json:"ageMillis,omitempty"`
	// StartMillis is how long after the handover the endpoint may still start a run that is
	// not known to have started.
	StartMillis int64 `json:"startMillis,omitempty"`
	// Stop is set if the run is to be stopped.
	Stop bool `json:"stop,omitempty"`
}

// HandedJob is the part of a job's record that an owner changes.
type HandedJob struct {
	ID       string         `json:"id"`
	State    job.State      `json:"state"`
	EndedAt  int64          `json:"endedAt,omitempty"`
	Progress []job.Progress `json:"progress,omitempty"`
}

// CountRuns returns how many runs the handover names, and how many endpoints as unread.
func (h *Handover) CountRuns() (runs, unread int) {
	for _, e := range h.Endpoints {
		runs += len(e.Runs)
		if e.Unread {
			unread++
		}
	}
	return runs, unread
}

// HandOver returns the state for the next owner. No order may be in flight or be sent any
// more, and no report may be applied.
func (s *Scheduler) HandOver(now time.Time) (h Handover) {
	for _, id := range sortedKeys(s.endpoints) {
		e := s.endpoints[id]
		unread := s.mayRunUnseen(e, now)
		if !unread && len(e.runs)+len(e.unknownRuns) == 0 {
			continue
		}
		handed := HandedEndpoint{
			ID: id, Pool: e.Pool, Instance: e.Instance, Unread: unread, LeaseMillis: millisUntil(e.leaseUntil, now), Incarnation: e.incarnation,
		}
		for _, r := range sortedRuns(e) {
			handed.Runs = append(handed.Runs, r.handOver(now))
		}
		for _, name := range sortedKeys(e.unknownRuns) {
			if e.runs[name] == nil {
				handed.Runs = append(handed.Runs, HandedRun{Task: name, Run: e.unknownRuns[name].number, Started: true, Stop: true})
			}
		}
		h.Endpoints = append(h.Endpoints, handed)
	}
	for _, id := range sortedKeys(s.dirty) {
		r := s.dirty[id].record()
		h.Jobs = append(h.Jobs, HandedJob{ID: id, State: r.State, EndedAt: r.EndedAt, Progress: r.Progress})
	}
	h.Checkpoints = s.checkpoints()
	return h
}

// handOver returns a run in the form for the next owner.
func (r *run) handOver(now time.Time) (handed HandedRun) {
	handed = HandedRun{
		Task: r.task.name, Run: r.number, Started: r.state == confirmed, AgeMillis: max(0, now.Sub(r.startedAt).Milliseconds()),
		// The next owner decides itself which tasks move.
		Stop: r.stopRequested && (r.stopTried || !r.evacuated),
	}
	if handed.Started {
		handed.LivedMillis = max(0, r.endpoint.aliveAt.Sub(r.confirmedAt).Milliseconds())
	} else {
		handed.StartMillis = millisUntil(r.startDeadline, now)
	}
	return handed
}

// millisUntil returns the milliseconds until a time, rounded up, and 0 if it has passed.
func millisUntil(at, now time.Time) int64 {
	if !now.Before(at) {
		return 0
	}
	return at.Sub(now).Milliseconds() + 1
}

// checkpoints returns the checkpoints of unfinished tasks by task name.
func (s *Scheduler) checkpoints() (byTask map[string]string) {
	byTask = make(map[string]string)
	for _, jobs := range s.activeJobs {
		for _, j := range jobs {
			j.addCheckpoints(byTask)
		}
	}
	return byTask
}

// addCheckpoints adds the checkpoints of the job's unfinished tasks.
func (j *jobState) addCheckpoints(byTask map[string]string) {
	for _, o := range j.occurrences.items {
		for _, st := range o.steps {
			for _, t := range st.tasks.items {
				if t.checkpoint != "" && !t.done {
					byTask[t.name] = t.checkpoint
				}
			}
		}
	}
}

// LoadHandover adds the stored jobs of an owner that has handed over, with its state of
// them. The stored endpoints must have been added before. The times in the handover count from
// its receipt.
func (s *Scheduler) LoadHandover(h Handover, records []job.Record, receivedAt, now time.Time) {
	s.init()
	s.handedOver = true
	unstored := make(map[string]HandedJob, len(h.Jobs))
	for _, c := range h.Jobs {
		unstored[c.ID] = c
	}
	for _, r := range records {
		c, changed := unstored[r.ID]
		// Without valid progress the job counts as one of which nothing was handed over.
		changed = changed && !r.State.Terminal() && r.CheckProgress(c.Progress) == nil
		if changed {
			r.Progress = c.Progress
		}
		s.LoadJob(r, now)
		if changed {
			s.applyHandedJob(c, now)
		}
	}
	for name, checkpoint := range h.Checkpoints {
		if t := s.taskByName(name); t != nil && t.step.KeepCheckpoints {
			t.checkpoint = checkpoint
		}
	}
	for _, e := range h.Endpoints {
		s.adoptEndpoint(e, receivedAt, now)
	}
}

// applyHandedJob makes a loaded job be stored as the earlier owner had it.
func (s *Scheduler) applyHandedJob(c HandedJob, now time.Time) {
	j := s.jobs[c.ID]
	if c.State == job.Running {
		j.markStarted()
	}
	s.markDirty(j, now, false)
	if c.State.Terminal() {
		s.finishJob(j, c.State, now)
		j.endedAt = c.EndedAt
	}
}

// adoptEndpoint adds the runs that an earlier owner had recorded on an endpoint. They count as active
// until the endpoint reports or its lease has ended.
func (s *Scheduler) adoptEndpoint(handed HandedEndpoint, receivedAt, now time.Time) {
	s.AddSettledEndpoint(Endpoint{ID: handed.ID, Pool: handed.Pool, Instance: handed.Instance}, now)
	e := s.endpoints[handed.ID]
	e.handedUnread, e.incarnation, e.aliveAt = handed.Unread, handed.Incarnation, receivedAt
	// Both are bounds of the leases that the earlier owner granted.
	if until := receivedAt.Add(s.localDuration(input.Milliseconds(float64(handed.LeaseMillis)))); until.Before(e.leaseUntil) {
		e.leaseUntil = until
	}
	for _, r := range handed.Runs {
		s.adoptRun(e, r, receivedAt, now)
	}
}

// adoptRun adds a run that an earlier owner had recorded on an endpoint.
func (s *Scheduler) adoptRun(e *endpoint, handed HandedRun, receivedAt, now time.Time) {
	t := s.taskByName(handed.Task)
	if t == nil {
		// No order starts a task of a job that is not known.
		return
	}
	r := &run{
		task: t, endpoint: e, number: handed.Run, state: uncertain, size: taskSize(t.step), adoptedAt: now, pace: fullPace, paceSent: fullPace,
		startedAt: receivedAt.Add(-input.Milliseconds(float64(handed.AgeMillis))),
	}
	if handed.Started {
		r.state, r.confirmedAt = confirmed, receivedAt.Add(-input.Milliseconds(float64(handed.LivedMillis)))
	} else {
		r.startDeadline = receivedAt.Add(s.localDuration(input.Milliseconds(float64(handed.StartMillis))))
		s.pendingStops[r] = true
	}
	t.recordRunNumber(handed.Run)
	if t.step.Gang {
		st := t.stepState()
		st.gangRunNumber = max(st.gangRunNumber, handed.Run)
	}
	if handed.Started {
		t.job.markStarted()
	}
	s.addRun(r)
	if handed.Stop || t.job.state.Terminal() {
		s.requestStop(r)
	}
}
