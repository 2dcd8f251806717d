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

// fakePeers implements Peers and Fleet with two data centres; every entry answers
// done, or notRun after the deadline.
type fakePeers struct {
	peerrpc.Peer
	self         membership.Entry
	live, remote []membership.Entry
	state        fleet.State
	submitted    int
}

func (e *fakePeers) Self() membership.Entry                   { return e.self }
func (e *fakePeers) Live() []membership.Entry                 { return e.live }
func (e *fakePeers) Remote(string) []membership.Entry         { return e.remote }
func (e *fakePeers) State() *fleet.State                      { return &e.state }
func (e *fakePeers) Dial(string, int64) (peerrpc.Peer, error) { return e, nil }

func (e *fakePeers) Submit(_ context.Context, q *peerrpc.SubmitRequest) (*peerrpc.Outcome, error) {
	e.submitted++
	if time.UnixMilli(q.GetDeadlineUnixMillis()).Before(time.Now()) {
		return &peerrpc.Outcome{Key: q.GetKey(), State: "notRun"}, nil
	}
	return &peerrpc.Outcome{Key: q.GetKey(), State: "done", Answer: "yes"}, nil
}

func newEntry(name, dataCentre string) membership.Entry {
	return membership.Entry{Name: name, DataCentre: dataCentre, Incarnation: 3}
}

func newFakePeers() *fakePeers {
	e := &fakePeers{
		self: newEntry("a1", "a"), live: []membership.Entry{newEntry("a1", "a"), newEntry("a2", "a"), newEntry("a3", "a")},
		remote: []membership.Entry{newEntry("b1", "b"), newEntry("b2", "b")},
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

// Guards against keys whose primary is in a data centre without an instance for the
// pool, so that their requests could never run, and against keys whose backup is the
// primary or is stopping, so that claims have no second copy.
func TestIssuedKeys(t *testing.T) {
	tests := []struct {
		name, pool              string
		change                  func(e *fakePeers)
		wantPrimary, wantBackup string
		wantField               string
	}{
		{"own data centre", "p", func(*fakePeers) {}, "a1", "a2 a3", ""},
		{"other data centre", "far", func(*fakePeers) {}, "b1 b2", "b1 b2", ""},
		{"spare pool serves all", "far", func(e *fakePeers) { e.state.Pools["p"] = fleet.Pool{Name: "p", Spare: true} }, "a1", "a2 a3", ""},
		{"single live entry", "p", func(e *fakePeers) { e.live = e.live[:1] }, "a1", "", ""},
		{"backup about to stop", "p", func(e *fakePeers) { e.live[1].Leaving = true }, "a1", "a3", ""},
		{"primary about to stop", "p", func(e *fakePeers) { e.self.Leaving, e.live[0].Leaving = true, true }, "a2 a3", "a2 a3", ""},
		{"no serving instance", "none", func(*fakePeers) {}, "", "", "pool"},
		{"unknown pool", "x", func(*fakePeers) {}, "", "", "pool"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newFakePeers()
			tt.change(e)
			h := &Handler{Peers: e, Fleet: e}
			list, err := h.IssueKeys(t.Context(), &callerapi.KeyOrder{Pool: tt.pool, Count: callerapi.NewOptInt(20)})
			var refused *callerapi.ErrorStatusCode
			if errors.As(err, &refused) && refused.Response.Field.Value == tt.wantField && tt.wantField != "" {
				return
			}
			if err != nil || tt.wantField != "" {
				t.Fatalf("%v, want field %q", err, tt.wantField)
			}
			seen := map[string]bool{}
			for _, text := range list.Keys {
				k, err := register.Parse(text)
				if err != nil || seen[text] || !strings.Contains(tt.wantPrimary, k.Primary) || !strings.Contains(tt.wantBackup, k.Backup) || (tt.wantBackup == "") != (k.Backup == "") {
					t.Errorf("%+v, %v", k, err)
				}
				seen[text] = true
			}
		})
	}
}

// Guards against errors that do not name the invalid field, and against reporting as
// invalid a request that may have run.
func TestRefusedSubmissions(t *testing.T) {
	e := newFakePeers()
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
	expired, longExpired, neverIssued := issued, issued, issued
	expired.ExpiresAt = time.Now().Add(-time.Second).Truncate(time.Millisecond)
	longExpired.ExpiresAt = expired.ExpiresAt.Add(-time.Hour)
	neverIssued.ExpiresAt = issued.ExpiresAt.Add(time.Hour)
	inOneMinute := time.Now().Add(time.Minute)
	tests := []struct {
		name, patch, field string
		status             int
	}{
		{"in order", `{}`, "", 200},
		{"key missing", `{"key":null}`, "key", 400},
		{"key empty", `{"key":""}`, "key", 400},
		{"key cut", fmt.Sprintf(`{"key":%q}`, list.Keys[0][:20]), "key", 400},
		{"key too long", fmt.Sprintf(`{"key":%q}`, strings.Repeat("k", 257)), "key", 400},
		{"key expired", fmt.Sprintf(`{"key":%q,"deadline":%q}`, expired, formatTime(expired.ExpiresAt)), "key", 400},
		{"key expired long ago", fmt.Sprintf(`{"key":%q}`, longExpired), "key", 410},
		{"key never issued", fmt.Sprintf(`{"key":%q}`, neverIssued), "key", 400},
		{"deadline missing", `{"deadline":null}`, "deadline", 400},
		{"deadline malformed", `{"deadline":"soon"}`, "deadline", 400},
		{"deadline past", fmt.Sprintf(`{"deadline":%q}`, formatTime(inOneMinute.Add(-time.Hour))), "deadline", 400},
		{"deadline too far", fmt.Sprintf(`{"deadline":%q}`, formatTime(inOneMinute.Add(time.Hour))), "deadline", 400},
		{"deadline after the key", fmt.Sprintf(`{"deadline":%q}`, formatTime(inOneMinute.Add(3*time.Hour))), "deadline", 400},
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
		body := map[string]any{"key": list.Keys[0], "member": "m", "pool": "p", "deadline": formatTime(inOneMinute)}
		if err := json.Unmarshal([]byte(tt.patch), &body); err != nil {
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
