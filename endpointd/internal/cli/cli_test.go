package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/endpointd/internal/platform"
	"github.com/azurepoint/azurepoint/endpointd/internal/worker"
)

// startEndpoint runs endpointd with a fake platform. It returns the URL of the
// endpoint and its registration.
func startEndpoint(t *testing.T) (url string, registered platform.Registration) {
	t.Helper()
	registrations := make(chan platform.Registration, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var got platform.Registration
		if r.Method != http.MethodPut || r.URL.Path != "/v1/agent/service/register" {
			t.Errorf("call %s %s", r.Method, r.URL)
		}
		_ = json.NewDecoder(r.Body).Decode(&got)
		registrations <- got
	}))
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(t.Context())
	stdout, write := io.Pipe()
	exitCode := make(chan int)
	arguments := []string{"--name", "w1", "--data-centre", "dc1", "--platform", server.Listener.Addr().String(), "--reboot-time", "0s"}
	go func() { exitCode <- Main(ctx, arguments, write, io.Discard) }()
	t.Cleanup(func() {
		cancel()
		if code := <-exitCode; code != 0 {
			t.Errorf("exit code %d", code)
		}
	})
	var address string
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if _, scanErr := fmt.Sscanf(line, "listening %s\n", &address); err != nil || scanErr != nil {
		t.Fatalf("first line %q: %v, %v", line, err, scanErr)
	}
	return "http://" + address, <-registrations
}

func sendRequest(t *testing.T, method, url, body string) (status int, answer string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

// Guards against a fault that has no effect although the history checks rely on
// it, and against a task start that is missing from the history.
func TestProcess(t *testing.T) {
	url, registered := startEndpoint(t)
	if registered.ID != "w1" || registered.Name != "endpoint" || registered.Meta["dataCentre"] != "dc1" ||
		url != fmt.Sprintf("http://%s:%d", registered.Address, registered.Port) {
		t.Errorf("registered %+v, listening at %s", registered, url)
	}
	task := fmt.Sprintf(`{"member":"m","slots":1,"runMillis":1,"payload":"p","leaseUntil":%q}`, time.Now().Add(time.Minute).Format(time.RFC3339Nano))
	tests := []struct {
		name, method, path, body string
		wantStatus               int
		wantBody                 string
		wantErr                  bool
	}{
		{"run", "PUT", "/v1/tasks/a", task, 200, `"answer":"echo:p"`, false},
		{"malformed", "PUT", "/v1/tasks/b", `{"member":"m"}`, 400, `"code":"invalid"`, false},
		{"unknown fault", "PUT", "/standin/faults", `{"loseAnswer":true}`, 400, "loseAnswer", false},
		{"lose answers", "PUT", "/standin/faults", `{"loseAnswers":true}`, 200, "", false},
		{"lost answer", "PUT", "/v1/tasks/c", task, 0, "", true},
		{"outcome of lost answer", "GET", "/v1/tasks/c", "", 200, `"state":"done"`, false},
		{"truncate answers", "PUT", "/standin/faults", `{"truncateAnswers":true}`, 200, "", false},
		{"truncated answer", "PUT", "/v1/tasks/d", task, 200, "", true},
		{"no faults", "PUT", "/standin/faults", `{}`, 200, "", false},
		{"fence", "DELETE", "/v1/tasks/e?onlyIfNotStarted=true&fenceUntil=2100-01-01T00:00:00Z", "", 200, "neverStarted", false},
		{"fenced", "PUT", "/v1/tasks/e", task, 409, `"code":"fenced"`, false},
		{"reboot without drain", "POST", "/v1/reboot", "", 409, "notDrained", false},
		{"drain", "POST", "/v1/drain", "", 200, "draining", false},
		{"leaving", "PUT", "/v1/tasks/f", task, 503, `"code":"leaving"`, false},
		{"reboot", "POST", "/v1/reboot", "", 200, "rebooting", false},
		{"serving again", "GET", "/v1/status", "", 200, "serving", false},
	}
	for _, tt := range tests {
		status, answer, err := sendRequest(t, tt.method, url+tt.path, tt.body)
		if status != tt.wantStatus || (err != nil) != tt.wantErr || !strings.Contains(answer, tt.wantBody) {
			t.Errorf("%s: status %d, answer %q, error %v", tt.name, status, answer, err)
		}
	}
	_, body, _ := sendRequest(t, "GET", url+"/standin/history", "")
	var history []worker.Event
	if err := json.Unmarshal([]byte(body), &history); err != nil {
		t.Fatal(err)
	}
	startedTasks := ""
	for _, e := range history {
		if e.Kind == worker.Started {
			startedTasks += e.Task
		}
	}
	if startedTasks != "acd" {
		t.Errorf("started %q, want acd", startedTasks)
	}
}

// Guards against an invalid flag that is accepted or that the error message does
// not name.
func TestWrongFlags(t *testing.T) {
	for _, flag := range []string{"--slots=0", "--connections=0", "--reboot-time=-1s", "--usage-lag=0s", "--slots=x"} {
		var stderr strings.Builder
		code := Main(t.Context(), []string{"--name", "w1", "--data-centre", "dc1", flag}, io.Discard, &stderr)
		name, _, _ := strings.Cut(flag, "=")
		if code != 2 || !strings.Contains(stderr.String(), name) {
			t.Errorf("%s: code %d, %q", flag, code, stderr.String())
		}
	}
}
