package manager

import (
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/meter"
)

// logEndpointLoss counts and logs an endpoint whose runs ended with it.
func logEndpointLoss(l schedule.EndpointLoss) {
	meter.Count("endpoints.lost." + string(l.Cause))
	fields := log.Fields{"endpoint": l.Endpoint, "pool": l.Pool, "instance": l.Instance, "cause": string(l.Cause), "runs": l.Runs}
	if !l.UnresponsiveSince.IsZero() {
		fields["silentMillis"] = time.Since(l.UnresponsiveSince).Milliseconds()
	}
	event.EndpointLost.Log(fields)
}

// logCrash counts and logs a crash of an endpoint under a task.
func logCrash(c schedule.CrashReport) {
	meter.Count("crashes")
	if c.GivenUp {
		meter.Count("crashes.givenUp")
	}
	event.TaskCrashed.Log(log.Fields{
		"job": c.Job, "task": strings.TrimPrefix(c.Task, c.Job+"."), "run": c.Run, "endpoint": c.Endpoint, "crashes": c.Crashes,
		"atStart": c.AtStart, "sole": c.Sole, "givenUp": c.GivenUp,
	})
}

// logRunEnd counts and logs the end of a run.
func logRunEnd(r schedule.RunEnd) {
	meter.Count("runs." + r.Reason)
	limited := event.RunEndedLimited
	if r.Inferred {
		limited = event.RunEndInferredLimited
	}
	if !limited.Allow() {
		return
	}
	event.RunEnded.Log(log.Fields{
		"job": r.Job, "task": strings.TrimPrefix(r.Task, r.Job+"."), "run": r.Run, "endpoint": r.Endpoint,
		"how": r.Reason, "tookMillis": r.Duration.Milliseconds(),
	})
}

// logStart logs an order to start a run.
func logStart(o schedule.Order, term int64) {
	limited := event.RunStartedLimited
	if o.PreviousEnd != "" {
		limited = event.RunRepeatedLimited
	}
	if !limited.Allow() {
		return
	}
	fields := log.Fields{
		"job": o.Job, "task": strings.TrimPrefix(o.Task, o.Job+"."), "run": o.Run, "endpoint": o.Endpoint,
		"waitedMillis": o.TimeSinceAcceptance.Milliseconds(), "term": term,
	}
	if o.PreviousEnd != "" {
		fields["after"] = o.PreviousEnd
	}
	event.RunStarted.Log(fields)
}

// logEvacuation counts and logs a long-running task that is stopped so that it moves.
func logEvacuation(v schedule.Evacuation) {
	meter.Count("evacuations")
	fields := log.Fields{
		"job": v.Job, "task": strings.TrimPrefix(v.Task, v.Job+"."), "run": v.Run, "endpoint": v.Endpoint, "draining": v.Draining,
		"unavailable": v.Unavailable, "mayBeUnavailable": v.MaxUnavailable,
	}
	if !v.OldestReport.IsZero() {
		fields["oldestReportMillis"] = time.Since(v.OldestReport).Milliseconds()
	}
	event.TaskEvacuated.Log(fields)
}
