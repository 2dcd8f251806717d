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
	// attemptTimeout is above the 10 s for which an entry waits for the change
	// log.
	attemptTimeout = 12 * time.Second
	// The backoff between attempts doubles from initialBackoff up to maxBackoff.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// client calls the operators' API at one address.
type client struct {
	api *operatorapi.Client
	// mayHaveApplied is set once a request was sent and its answer was lost or
	// said that the outcome is unknown. An error of a later attempt does not tell
	// whether the change was applied.
	mayHaveApplied bool
}

// bearerToken is the secret that authenticates each call.
type bearerToken string

// Secret returns the same token for every operation.
func (b bearerToken) Secret(context.Context, operatorapi.OperationName) (s operatorapi.Secret, err error) {
	return operatorapi.Secret{Token: string(b)}, nil
}

func newClient(address, secret string) (c *client, err error) {
	if secret == "" {
		return nil, errors.New("the secret file is empty")
	}
	// A new connection for each attempt lets a load balancer choose another entry.
	transport := &http.Transport{DisableKeepAlives: true}
	api, err := operatorapi.NewClient("http://"+address, bearerToken(secret),
		operatorapi.WithClient(&http.Client{Transport: transport}))
	if err != nil {
		return nil, err
	}
	return &client{api: api}, nil
}

// dump returns the state dump of the entry as text.
func (c *client) dump(ctx context.Context) (text string, err error) {
	answer, err := c.api.DumpState(ctx)
	if err != nil {
		return "", err
	}
	content, err := io.ReadAll(answer)
	return string(content), err
}

// unreachableError reports that no answer arrived before the deadline.
type unreachableError struct {
	cause error
}

// Error returns a message with the error of the last attempt.
func (e *unreachableError) Error() string {
	return "no answer: " + e.cause.Error()
}

// Unwrap returns the error of the last attempt.
func (e *unreachableError) Unwrap() error {
	return e.cause
}

// callWithRetry repeats a call until it gets a final answer or the context ends.
// It retries after an unknown outcome, the status 429, a lost answer or a failed
// connection. Retrying is safe: a change carries its identifier, and all other
// calls are read-only.
func callWithRetry[T any](ctx context.Context, c *client, attempt func(context.Context) (T, error)) (answer T, err error) {
	var unknownAnswer *T
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		sent, answer, err := callOnce(ctx, attempt)
		refusal, refused := errors.Into[*operatorapi.ErrorStatusCode](err)
		switch {
		case err == nil && !isOutcomeUnknown(answer):
			return answer, nil
		case refused && refusal.StatusCode != http.StatusTooManyRequests:
			return answer, err
		case err == nil:
			unknownAnswer = &answer
		}
		c.mayHaveApplied = c.mayHaveApplied || (sent && !refused)
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
			continue
		}
		switch {
		case unknownAnswer != nil:
			return *unknownAnswer, nil
		case refused:
			return answer, err
		default:
			return answer, &unreachableError{cause: err}
		}
	}
}

// callOnce makes one attempt with its own timeout; sent reports whether a
// connection was available for the request.
func callOnce[T any](ctx context.Context, attempt func(context.Context) (T, error)) (sent bool, answer T, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer, err = attempt(ctx)
	return connected.Load(), answer, err
}

// isOutcomeUnknown reports whether the entry answered that the outcome of a change
// is unknown.
func isOutcomeUnknown(answer any) bool {
	r, isReply := answer.(*operatorapi.Reply)
	return isReply && r.Change.Value.State == operatorapi.ChangeStateUnknown
}
