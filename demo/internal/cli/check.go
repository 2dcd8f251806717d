package cli

import (
	"fmt"
	"strings"

	"github.com/azurepoint/azurepoint/api/callerapi"
	"github.com/azurepoint/azurepoint/demo/internal/caller"
	"github.com/azurepoint/azurepoint/demo/internal/endpoint"
)

// taskSeparator separates the request's key from the attempt in a task ID.
const taskSeparator = "~"

// Counts are the totals that the demo prints in its last line.
type Counts struct {
	Sent       int
	Done       int
	NotRun     int
	Unknown    int
	Doubled    int
	Lost       int
	MovesDone  int
	DrainsDone int
	// Reasons counts the requests that were not done, by the state and reason that
	// their callers received.
	Reasons map[string]int
}

// String returns the last line of the demo.
func (c Counts) String() string {
	return fmt.Sprintf("demo: sent=%d done=%d notRun=%d unknown=%d doubled=%d lost=%d movesDone=%d drainsDone=%d",
		c.Sent, c.Done, c.NotRun, c.Unknown, c.Doubled, c.Lost, c.MovesDone, c.DrainsDone)
}

// checkHistory compares the outcomes that the callers received with the tasks
// that the endpoints ran. A request counts as lost if it was reported done without
// a finished run or with another answer, or reported not run although it started.
// A request that started twice and is not repeatable counts as doubled. Each of
// these is a violation.
func checkHistory(records []caller.Record, events []endpoint.Event) (c Counts, violations []string) {
	starts := make(map[string]int)
	ends := make(map[string]string)
	for _, e := range events {
		key, _, _ := strings.Cut(e.Task, taskSeparator)
		switch {
		case e.Kind == endpoint.Started:
			starts[key]++
		case e.Kind == endpoint.Ended && e.State == endpoint.StateDone:
			ends[key] = e.Answer
		}
	}
	c.Sent = len(records)
	c.Reasons = make(map[string]int)
	for _, r := range records {
		violations = append(violations, checkRecord(&c, r, starts[r.Key], ends)...)
	}
	return c, violations
}

func checkRecord(c *Counts, r caller.Record, starts int, ends map[string]string) (violations []string) {
	report := func(format string, values ...any) {
		violations = append(violations, fmt.Sprintf("request %s: ", r.Key)+fmt.Sprintf(format, values...))
	}
	if starts > 1 && !r.Kind.Repeatable {
		c.Doubled++
		report("started %d times, but is not repeatable", starts)
	}
	if r.State != callerapi.OutcomeStateDone {
		c.Reasons[string(r.State)+": "+r.Reason]++
	}
	switch r.State {
	case callerapi.OutcomeStateDone:
		c.Done++
		answer, ran := ends[r.Key]
		if !ran || answer != r.Answer || !strings.Contains(answer, r.Payload) {
			c.Lost++
			report("reported done with answer %q, but the endpoint answered %q", r.Answer, answer)
		}
	case callerapi.OutcomeStateNotRun:
		c.NotRun++
		if starts > 0 {
			c.Lost++
			report("reported not run (%s), but it started", r.Reason)
		}
	default:
		c.Unknown++
	}
	return violations
}
