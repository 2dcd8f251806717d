package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/api/callerapi"
	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/membership"
	"github.com/azurepoint/azurepoint/coordination/register"
)

// entries is a view of two data centres; every entry answers done.
type entries struct {
	peerrpc.Peer
	self         membership.Entry
	live, remote []membership.Entry
	state        fleet.State
	submitted    int
}

func (e *entries) Self() membership.Entry                   { return e.self }
func (e *entries) Live() []membership.Entry                 { return e.live }
func (e *entries) Remote(string) []membership.Entry         { return e.remote }
func (e *entries) State() *fleet.State                      { return &e.state }
func (e *entries) Dial(string, int64) (peerrpc.Peer, error) { return e, nil }

func (e *entries) Submit(_ context.Context, q *peerrpc.SubmitRequest) (*peerrpc.Outcome, error) {
	e.submitted++
	if time.UnixMilli(q.GetDeadlineUnixMillis()).Before(time.Now()) {
		return &peerrpc.Outcome{Key: q.GetKey(), State: "notRun"}, nil
	}
	return &peerrpc.Outcome{Key: q.GetKey(), State: "done", Answer: "yes"}, nil
}

func entry(name, dataCentre string) membership.Entry {
	return membership.Entry{Name: name, DataCentre: dataCentre, Incarnation: 3}
}

func newEntries() *entries {
	e := &entries{
		self: entry("a1", "a"), live: []membership.Entry{entry("a1", "a"), entry("a2", "a"), entry("a3", "a")},
		remote: []membership.Entry{entry("b1", "b"), entry("b2", "b")},
	}
	e.state.Members = map[string]fleet.Member{"m": {Name: "m"}}
	e.state.Pools = map[string]fleet.Pool{"p": {Name: "p"}, "far": {Name: "far"}, "none": {Name: "none"}}
	e.state.Instances = map[string]fleet.Instance{
		"1": {Pool: "p", DataCentre: "a", Phase: fleet.Serving},
		"2": {Pool: "far", DataCentre: "b", Phase: fleet.Serving},
		"3": {Pool: "far", DataCentre: "a", Phase: fleet.Draining},
		"4": {Pool: "none", DataCentre: "a", Phase: fleet.Serving, Failed: true},
	}
	return e
}

// A key whose home has no endpoint for its pool could never run, and one whose
// backup is its home or is about to stop has no second copy.
func TestIssuedKeys(t *testing.T) {
	tests := []struct {
		name, pool   string
		change       func(e *entries)
		home, backup string
		field        string
	}{
		{"own data centre", "p", func(*entries) {}, "a1", "a2 a3", ""},
		{"other data centre", "far", func(*entries) {}, "b1 b2", "b1 b2", ""},
		{"spare pool serves all", "far", func(e *entries) { e.state.Pools["p"] = fleet.Pool{Name: "p", Spare: true} }, "a1", "a2 a3", ""},
		{"single live entry", "p", func(e *entries) { e.live = e.live[:1] }, "a1", "", ""},
		{"backup about to stop", "p", func(e *entries) { e.live[1].Leaving = true }, "a1", "a3", ""},
		{"home about to stop", "p", func(e *entries) { e.self.Leaving, e.live[0].Leaving = true, true }, "a2 a3", "a2 a3", ""},
		{"no serving instance", "none", func(*entries) {}, "", "", "pool"},
		{"unknown pool", "x", func(*entries) {}, "", "", "pool"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEntries()
			tt.change(e)
			h := &Handler{Peers: e, Fleet: e}
			list, err := h.IssueKeys(t.Context(), &callerapi.KeyOrder{Pool: tt.pool, Count: callerapi.NewOptInt(20)})
			var refused *callerapi.ErrorStatusCode
			if errors.As(err, &refused) && refused.Response.Field.Value == tt.field && tt.field != "" {
				return
			}
			if err != nil || tt.field != "" {
				t.Fatalf("%v, want field %q", err, tt.field)
			}
			seen := map[string]bool{}
			for _, text := range list.Keys {
				k, err := register.Parse(text)
				if err != nil || seen[text] || !strings.Contains(tt.home, k.Home) || !strings.Contains(tt.backup, k.Backup) || (tt.backup == "") != (k.Backup == "") {
					t.Errorf("%+v, %v", k, err)
				}
				seen[text] = true
			}
		})
	}
}

// An error that does not name its field cannot be acted on, and one that is
// given for a request that may have run would be a lie.
func TestRefusedSubmissions(t *testing.T) {
	e := newEntries()
	h := &Handler{Peers: e, Fleet: e}
	server, err := NewServer(h)
	if err != nil {
		t.Fatal(err)
	}
	list, err := h.IssueKeys(t.Context(), &callerapi.KeyOrder{Pool: "p"})
	if err != nil {
		t.Fatal(err)
	}
	issued, _ := register.Parse(list.Keys[0])
	expired, ancient, late := issued, issued, issued
	expired.ExpiresAt = time.Now().Add(-time.Second).Truncate(time.Millisecond)
	ancient.ExpiresAt = expired.ExpiresAt.Add(-time.Hour)
	late.ExpiresAt = issued.ExpiresAt.Add(time.Hour)
	soon := time.Now().Add(time.Minute)
	tests := []struct {
		name, change, field string
		status              int
	}{
		{"in order", `{}`, "", 200},
		{"key missing", `{"key":null}`, "key", 400},
		{"key empty", `{"key":""}`, "key", 400},
		{"key cut", fmt.Sprintf(`{"key":%q}`, list.Keys[0][:20]), "key", 400},
		{"key too long", fmt.Sprintf(`{"key":%q}`, strings.Repeat("k", 257)), "key", 400},
		{"key expired", fmt.Sprintf(`{"key":%q,"deadline":%q}`, expired, stamp(expired.ExpiresAt)), "key", 400},
		{"key expired long ago", fmt.Sprintf(`{"key":%q}`, ancient), "key", 410},
		{"key never issued", fmt.Sprintf(`{"key":%q}`, late), "key", 400},
		{"deadline missing", `{"deadline":null}`, "deadline", 400},
		{"deadline malformed", `{"deadline":"soon"}`, "deadline", 400},
		{"deadline past", fmt.Sprintf(`{"deadline":%q}`, stamp(soon.Add(-time.Hour))), "deadline", 400},
		{"deadline too far", fmt.Sprintf(`{"deadline":%q}`, stamp(soon.Add(time.Hour))), "deadline", 400},
		{"deadline after the key", fmt.Sprintf(`{"deadline":%q}`, stamp(soon.Add(3*time.Hour))), "deadline", 400},
		{"member unknown", `{"member":"x"}`, "member", 400},
		{"member empty", `{"member":""}`, "member", 400},
		{"pool unknown", `{"pool":"x"}`, "pool", 400},
		{"urgency unknown", `{"urgency":"now"}`, "urgency", 400},
		{"slots zero", `{"slots":0}`, "slots", 400},
		{"run time too long", `{"runMillis":3600001}`, "runMillis", 400},
		{"payload too long", fmt.Sprintf(`{"payload":%q}`, strings.Repeat("x", 65537)), "payload", 400},
		{"payload too many bytes", fmt.Sprintf(`{"payload":%q}`, strings.Repeat("é", 40000)), "payload", 400},
	}
	for _, tt := range tests {
		body := map[string]any{"key": list.Keys[0], "member": "m", "pool": "p", "deadline": stamp(soon)}
		if err := json.Unmarshal([]byte(tt.change), &body); err != nil {
			t.Fatal(err)
		}
		for name, value := range body {
			if value == nil {
				delete(body, name)
			}
		}
		text, _ := json.Marshal(body)
		request := httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader(string(text)))
		request.Header.Set("Content-Type", "application/json")
		response := httptest.NewRecorder()
		server.ServeHTTP(response, request)
		var got struct{ Field, Answer string }
		if err := json.Unmarshal(response.Body.Bytes(), &got); err != nil || response.Code != tt.status || got.Field != tt.field {
			t.Errorf("%s: status %d, %s, want %d for %q", tt.name, response.Code, response.Body, tt.status, tt.field)
		}
	}
}
