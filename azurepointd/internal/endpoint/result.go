package endpoint

import (
	"net"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/endpointapi"
)

// Kind is what is certain about a task.
type Kind string

// Kinds of results; only Done, Failed and NotStarted never change.
const (
	// Open means that nothing is certain.
	Open Kind = ""
	// Running means that the task started and goes on.
	Running Kind = "running"
	// Done means that the task ended and its whole answer is at hand.
	Done Kind = "done"
	// Failed means that the task started, and failed or was stopped part-way.
	Failed Kind = "failed"
	// NotStarted means that the task did not start and never will.
	NotStarted Kind = "notStarted"
)

// Result is what is known of a task.
type Result struct {
	Kind   Kind
	Answer string
	Reason string
	// Unreachable is set when no connection could be made.
	Unreachable bool
}

// Settled tells whether the result never changes.
func (r Result) Settled() bool {
	return r.Kind == Done || r.Kind == Failed || r.Kind == NotStarted
}

// resultOfRun reads the answer to a call that starts a task. Only a whole
// answer that carries the task's id counts; a refusal changed nothing.
func resultOfRun(id string, answer *endpointapi.TaskResult, err error) Result {
	var refused *endpointapi.ErrorStatusCode
	var broken *net.OpError
	switch {
	case errors.As(err, &refused):
		return Result{Kind: NotStarted, Reason: "refused: " + string(refused.Response.Code) + ": " + refused.Response.Message}
	case errors.As(err, &broken) && broken.Op == "dial":
		return Result{Kind: NotStarted, Reason: "unreachable: " + err.Error(), Unreachable: true}
	}
	r := resultOf(id, answer, err)
	if r.Kind == NotStarted || r.Kind == Running {
		return Result{Reason: "the endpoint answered before the task ended"}
	}
	return r
}

// resultOf reads the answer to a call that asks about a task.
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
