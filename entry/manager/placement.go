package manager

import (
	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/meter"
)

// logWidened counts and logs a job whose tasks are to start outside its data centre too.
func logWidened(w schedule.Widened) {
	meter.Count("placement.widened")
	if event.JobWidenedLimited.Allow() {
		event.JobWidened.Log(log.Fields{"job": w.Job, "pool": w.Pool, "dataCentre": w.DataCentre, "ageMillis": w.Age.Milliseconds()})
	}
}

// logAwaited logs that inherited jobs wait for the endpoints of a data centre, and counts them
// when they no longer do.
func logAwaited(a schedule.AwaitedDataCentre) {
	name := a.DataCentre
	if name == "" {
		name = "any"
	}
	fields := log.Fields{"dataCentre": name, "jobs": a.Jobs}
	if !a.Ended {
		event.DataCentreAwaited.Log(fields)
		return
	}
	meter.Add("placement.awaited", int64(a.Jobs))
	fields["waitedMillis"] = a.Waited.Milliseconds()
	event.DataCentreNotAwaited.Log(fields)
}
