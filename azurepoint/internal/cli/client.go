package cli

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/operatorapi"
)

const (
	// attemptTimeout is above the 10 s that an entry waits for the log.
	attemptTimeout = 12 * time.Second
	// Pauses between attempts double from the first to the longest.
	firstPause   = 200 * time.Millisecond
	longestPause = 2 * time.Second
)

// client calls the operators' API of one address.
type client struct {
	api *operatorapi.Client
	// lost is set once a call was sent whose answer was lost or said that the
	// outcome is unknown; a later error does not tell what became of it.
	lost bool
}

// bearer is the secret that each call carries.
type bearer string

// Secret returns the token of every operation.
func (b bearer) Secret(context.Context, operatorapi.OperationName) (s operatorapi.Secret, err error) {
	return operatorapi.Secret{Token: string(b)}, nil
}

func newClient(address, secret string) (c *client, err error) {
	if secret == "" {
		return nil, errors.New("the secret file is empty")
	}
	// A new connection for each attempt lets a balancer choose another entry.
	transport := &http.Transport{DisableKeepAlives: true}
	api, err := operatorapi.NewClient("http://"+address, bearer(secret),
		operatorapi.WithClient(&http.Client{Transport: transport}))
	if err != nil {
		return nil, err
	}
	return &client{api: api}, nil
}

// dump returns the state dump of the entry.
func (c *client) dump(ctx context.Context) (text string, err error) {
	answer, err := c.api.DumpState(ctx)
	if err != nil {
		return "", err
	}
	all, err := io.ReadAll(answer)
	return string(all), err
}

// unreachableError means that no answer came before the deadline.
type unreachableError struct {
	cause error
}

// Error returns the cause of the last attempt.
func (e *unreachableError) Error() string {
	return "no answer: " + e.cause.Error()
}

// Unwrap returns the cause of the last attempt.
func (e *unreachableError) Unwrap() error {
	return e.cause
}

// call repeats a call until it has an answer that stands or the context ends.
// Repeating is safe: a change carries its identifier, and nothing else changes
// anything.
func call[T any](ctx context.Context, c *client, attempt func(context.Context) (T, error)) (answer T, err error) {
	var unknown *T
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		sent, answer, err := try(ctx, attempt)
		refusal, refused := errors.Into[*operatorapi.ErrorStatusCode](err)
		switch {
		case err == nil && !isUnknown(answer):
			return answer, nil
		case refused && refusal.StatusCode != http.StatusTooManyRequests:
			return answer, err
		case err == nil:
			unknown = &answer
		}
		c.lost = c.lost || (sent && !refused)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
			continue
		}
		switch {
		case unknown != nil:
			return *unknown, nil
		case refused:
			return answer, err
		default:
			return answer, &unreachableError{cause: err}
		}
	}
}

// try makes one attempt; sent tells whether there was a connection for it.
func try[T any](ctx context.Context, attempt func(context.Context) (T, error)) (sent bool, answer T, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer, err = attempt(ctx)
	return connected.Load(), answer, err
}

// isUnknown tells whether the entry does not know what became of a change.
func isUnknown(answer any) bool {
	r, isReply := answer.(*operatorapi.Reply)
	return isReply && r.Change.Value.State == operatorapi.ChangeStateUnknown
}
