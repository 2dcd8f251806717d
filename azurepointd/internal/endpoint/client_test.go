package endpoint

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurepoint/azurepoint/api/endpointapi"
)

// Guards against responses that are misinterpreted: truncated, for another task, too
// early, or contradicting the call.
func TestResultsOverHTTP(t *testing.T) {
	const doneBody = `{"id":"a@1","state":"done","answer":"yes"}`
	tests := []struct {
		name       string
		runBody    string
		status     int
		truncate   bool
		settleBody string
		want       Kind
		answer     string
	}{
		{"whole", doneBody, 200, false, "", Done, "yes"},
		{"truncated, then done", doneBody, 200, true, doneBody, Done, "yes"},
		{"truncated, never settled", doneBody, 200, true, "", Uncertain, ""},
		{"half a document", doneBody[:30], 200, false, `{"id":"a@1","state":"failed"}`, Failed, ""},
		{"other task", `{"id":"b@1","state":"done","answer":"no"}`, 200, false, doneBody, Done, "yes"},
		{"no answer", `{"id":"a@1","state":"done"}`, 200, false, `{"id":"a@1","state":"stopped"}`, Failed, ""},
		{"early answer", `{"id":"a@1","state":"running"}`, 200, false, doneBody, Done, "yes"},
		{"claims never to have started", `{"id":"a@1","state":"neverStarted"}`, 200, false, `{"id":"a@1","state":"done","answer":"yes"}`, Done, "yes"},
		{"broken, then fenced", "", 500, false, `{"id":"a@1","state":"neverStarted"}`, NotStarted, ""},
		{"settles another task", "", 500, false, `{"id":"b@1","state":"neverStarted"}`, Uncertain, ""},
		{"refused", `{"code":"busy","message":"full"}`, 503, false, "", NotStarted, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				if r.Method != http.MethodPut {
					_, _ = w.Write([]byte(tt.settleBody))
					return
				}
				if tt.truncate {
					w.Header().Set("Content-Length", fmt.Sprint(len(tt.runBody)+9))
				}
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.runBody))
			}))
			defer server.Close()
			var c Client
			r := c.Run(t.Context(), server.URL, Task{ID: "a@1", Slots: 1, LeaseUntil: time.Now().Add(time.Second), Repeatable: true})
			if r.Kind != tt.want || r.Answer != tt.answer {
				t.Errorf("%+v, want %q with %q", r, tt.want, tt.answer)
			}
		})
	}
}

// Guards against waiting for the lease of a task whose connection was refused: it was
// not sent, so its request may be sent to another endpoint at once.
func TestUnreachableEndpointDidNotStart(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	var c Client
	if r := c.Run(t.Context(), server.URL, Task{ID: "a@1", Slots: 1, LeaseUntil: time.Now().Add(time.Minute)}); r.Kind != NotStarted {
		t.Errorf("%+v", r)
	}
	if r := c.Settle(t.Context(), server.URL, "a@1", time.Now()); r.Kind != Uncertain {
		t.Errorf("settled without an answer: %+v", r)
	}
}

// hangingEndpoint answers RunTask only when its context ends.
type hangingEndpoint struct {
	endpointapi.Invoker
	stopResult  func() *endpointapi.TaskResult
	statusCalls atomic.Int64
}

func (e *hangingEndpoint) GetStatus(context.Context) (*endpointapi.Status, error) {
	return &endpointapi.Status{Fence: e.statusCalls.Add(1)}, nil
}

func (e *hangingEndpoint) RunTask(ctx context.Context, _ *endpointapi.Task, _ endpointapi.RunTaskParams) (*endpointapi.TaskResult, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (e *hangingEndpoint) StopTask(context.Context, endpointapi.StopTaskParams) (*endpointapi.TaskResult, error) {
	return e.stopResult(), nil
}

// Guards against an endpoint that does not respond and so blocks a request for
// longer than its lease, and against more concurrent calls to one endpoint than the
// limit allows.
func TestHangingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &hangingEndpoint{stopResult: func() *endpointapi.TaskResult {
			return &endpointapi.TaskResult{ID: "a@1", State: endpointapi.TaskStateRunning}
		}}
		c := Client{Connections: 1, ClockError: 250 * time.Millisecond, Connect: func(string) (endpointapi.Invoker, error) { return s, nil }}
		startedAt := time.Now()
		results := make(chan Result)
		task := Task{ID: "a@1", Slots: 1, LeaseUntil: startedAt.Add(10 * time.Second)}
		go func() { results <- c.Run(t.Context(), "h", task) }()
		synctest.Wait()
		if r := c.Run(t.Context(), "h", task); r.Kind != NotStarted || !strings.Contains(r.Reason, "connections") {
			t.Errorf("call beyond the limit: %+v", r)
		}
		r := <-results
		if took := time.Since(startedAt); r.Kind != Uncertain || took != 11500*time.Millisecond {
			t.Errorf("%+v after %s", r, took)
		}
	})
}

// Guards against a cached fence that is kept after a restart of the endpoint: every
// later task id would carry the old fence and be refused.
func TestFenceIsFetchedAgainAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &hangingEndpoint{stopResult: func() *endpointapi.TaskResult {
			return &endpointapi.TaskResult{ID: "a@1", State: endpointapi.TaskStateStopped}
		}}
		c := Client{Connect: func(string) (endpointapi.Invoker, error) { return s, nil }}
		for _, want := range []string{"a@1", "a@1"} {
			if id, err := c.TaskID(t.Context(), "h", "a"); id != want || err != nil {
				t.Fatalf("%s, %v, want %s", id, err, want)
			}
		}
		if r := c.Run(t.Context(), "h", Task{ID: "a@1", LeaseUntil: time.Now()}); r.Kind != Failed {
			t.Errorf("%+v", r)
		}
		if id, err := c.TaskID(t.Context(), "h", "a"); id != "a@2" || err != nil {
			t.Errorf("%s, %v", id, err)
		}
	})
}
