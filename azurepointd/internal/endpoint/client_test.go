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

// Each case is one answer that could be taken for something it is not.
func TestAnswersOverHTTP(t *testing.T) {
	const whole = `{"id":"a@1","state":"done","answer":"yes"}`
	tests := []struct {
		name   string
		put    string
		status int
		cut    bool
		settle string
		want   Kind
		answer string
	}{
		{"whole", whole, 200, false, "", Done, "yes"},
		{"truncated, then done", whole, 200, true, whole, Done, "yes"},
		{"truncated, never settled", whole, 200, true, "", Open, ""},
		{"half a document", whole[:30], 200, false, `{"id":"a@1","state":"failed"}`, Failed, ""},
		{"other task", `{"id":"b@1","state":"done","answer":"no"}`, 200, false, whole, Done, "yes"},
		{"no answer", `{"id":"a@1","state":"done"}`, 200, false, `{"id":"a@1","state":"stopped"}`, Failed, ""},
		{"early answer", `{"id":"a@1","state":"running"}`, 200, false, whole, Done, "yes"},
		{"claims never to have started", `{"id":"a@1","state":"neverStarted"}`, 200, false, `{"id":"a@1","state":"done","answer":"yes"}`, Done, "yes"},
		{"broken, then fenced", "", 500, false, `{"id":"a@1","state":"neverStarted"}`, NotStarted, ""},
		{"settles another task", "", 500, false, `{"id":"b@1","state":"neverStarted"}`, Open, ""},
		{"refused", `{"code":"busy","message":"full"}`, 503, false, "", NotStarted, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				if r.Method != http.MethodPut {
					_, _ = w.Write([]byte(tt.settle))
					return
				}
				if tt.cut {
					w.Header().Set("Content-Length", fmt.Sprint(len(tt.put)+9))
				}
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.put))
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

// A refused connection carried no task; waiting for its lease would hold up a
// request that may safely go elsewhere.
func TestUnreachableEndpointDidNotStart(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	var c Client
	if r := c.Run(t.Context(), server.URL, Task{ID: "a@1", Slots: 1, LeaseUntil: time.Now().Add(time.Minute)}); r.Kind != NotStarted {
		t.Errorf("%+v", r)
	}
	if r := c.Settle(t.Context(), server.URL, "a@1", time.Now()); r.Kind != Open {
		t.Errorf("settled without an answer: %+v", r)
	}
}

// slow answers each call on tasks only when its context ends.
type slow struct {
	endpointapi.Invoker
	settled  func() *endpointapi.TaskResult
	statuses atomic.Int64
}

func (s *slow) GetStatus(context.Context) (*endpointapi.Status, error) {
	return &endpointapi.Status{Fence: s.statuses.Add(1)}, nil
}

func (s *slow) RunTask(ctx context.Context, _ *endpointapi.Task, _ endpointapi.RunTaskParams) (*endpointapi.TaskResult, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (s *slow) StopTask(context.Context, endpointapi.StopTaskParams) (*endpointapi.TaskResult, error) {
	return s.settled(), nil
}

// A silent endpoint must not hold a request for longer than its lease, and the
// calls at once to one endpoint must stay within the limit.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slow{settled: func() *endpointapi.TaskResult {
			return &endpointapi.TaskResult{ID: "a@1", State: endpointapi.TaskStateRunning}
		}}
		c := Client{Connections: 1, ClockError: 250 * time.Millisecond, Connect: func(string) (endpointapi.Invoker, error) { return s, nil }}
		begun := time.Now()
		results := make(chan Result)
		task := Task{ID: "a@1", Slots: 1, LeaseUntil: begun.Add(10 * time.Second)}
		go func() { results <- c.Run(t.Context(), "h", task) }()
		synctest.Wait()
		if r := c.Run(t.Context(), "h", task); r.Kind != NotStarted || !strings.Contains(r.Reason, "connections") {
			t.Errorf("call beyond the limit: %+v", r)
		}
		r := <-results
		if took := time.Since(begun); r.Kind != Open || took != 11500*time.Millisecond {
			t.Errorf("%+v after %s", r, took)
		}
	})
}

// An id with the incarnation of before a restart would be refused for ever.
func TestFenceIsAskedAgainAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slow{settled: func() *endpointapi.TaskResult {
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
