package endpoint

import (
	"net"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/endpointapi"
)

// Kind states what is certain about a task.
type Kind string

// Kinds of results. Only Done, Failed and NotStarted are final.
const (
	// Uncertain means that nothing is certain.
	Uncertain Kind = ""
	// Running means that the task has started and not ended.
	Running Kind = "running"
	// Done means that the task ended and the result has its complete answer.
	Done Kind = "done"
	// Failed means that the task started, and failed or was stopped.
	Failed Kind = "failed"
	// NotStarted means that the task did not start and never will.
	NotStarted Kind = "notStarted"
)

// Result is the result of a call for a task.
type Result struct {
	Kind   Kind
	Answer string
	Reason string
	// Unreachable is set if no connection could be established.
	Unreachable bool
}

// Settled reports whether the result is final.
func (r Result) Settled() bool {
	return r.Kind == Done || r.Kind == Failed || r.Kind == NotStarted
}

// resultOfRun converts the response to a call that runs a task. Only a complete
// response with the task's id is trusted. A refusal or a failed dial means that the
// task did not start.
func resultOfRun(id string, answer *endpointapi.TaskResult, err error) Result {
	var refusal *endpointapi.ErrorStatusCode
	var netErr *net.OpError
	switch {
	case errors.As(err, &refusal):
		return Result{Kind: NotStarted, Reason: "refused: " + string(refusal.Response.Code) + ": " + refusal.Response.Message}
	case errors.As(err, &netErr) && netErr.Op == "dial":
		return Result{Kind: NotStarted, Reason: "unreachable: " + err.Error(), Unreachable: true}
	}
	r := resultOf(id, answer, err)
	if r.Kind == NotStarted || r.Kind == Running {
		return Result{Reason: "the endpoint answered before the task ended"}
	}
	return r
}

// resultOf converts the response to a call that returns the state of a task.
func resultOf(id string, answer *endpointapi.TaskResult, err error) Result {
	if err != nil {
		return Result{Reason: err.Error()}
	}
	if answer.ID != id {
		return Result{Reason: "the endpoint answered for task " + answer.ID}
	}
	switch answer.State {
	case endpointapi.TaskStateDone:
		if !answer.Answer.Set {
			return Result{Reason: "the endpoint left out the answer"}
		}
		return Result{Kind: Done, Answer: answer.Answer.Value}
	case endpointapi.TaskStateNeverStarted:
		return Result{Kind: NotStarted, Reason: "fenced before it started"}
	case endpointapi.TaskStateRunning:
		return Result{Kind: Running, Reason: "the task is running"}
	}
	return Result{Kind: Failed, Reason: string(answer.State) + ": " + answer.Message.Or("no message")}
}
