package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/azurepoint/azurepoint/api/operatorapi"
	"github.com/azurepoint/azurepoint/coordination/command"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

const testSecret = "operators-only-1234"

// fakeFleet is what entries see of one log, which applies changes in order.
type fakeFleet struct {
	// delay is how long a proposed change takes to the log.
	delay time.Duration
	// err replaces the answer of the log after the change was applied.
	err error
	// behind keeps later changes from coming into force at the entries.
	behind bool

	mu       sync.Mutex
	state    fleet.State
	log      fleet.State
	proposed []fleet.Change
}

func (f *fakeFleet) State() *fleet.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return new(f.state)
}

func (f *fakeFleet) Propose(ctx context.Context, c fleet.Change) (fate fleet.Fate, err error) {
	if _, bounded := ctx.Deadline(); !bounded {
		return fate, errors.New("the call has no deadline")
	}
	time.Sleep(f.delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proposed = append(f.proposed, c)
	if f.log, err = fleet.Apply(f.log, c); err != nil {
		return fate, err
	}
	if !f.behind {
		f.state = f.log
	}
	fate, _ = f.log.FateOf(c.ID)
	return fate, f.err
}

func (f *fakeFleet) Leaving(i string) bool  { return i == "a2" }
func (f *fakeFleet) Self() membership.Entry { return membership.Entry{Name: "e1", DataCentre: "north"} }
func (f *fakeFleet) Live() []membership.Entry {
	return []membership.Entry{{Name: "e1", DataCentre: "north"}, {Name: "e2", DataCentre: "north", Version: 5}}
}
func (f *fakeFleet) DataCentres() []string { return []string{"north", "south"} }
func (f *fakeFleet) Remote(string) []membership.Entry {
	return []membership.Entry{{Name: "e3", DataCentre: "south", Version: 9, Incarnation: 3}}
}

func (f *fakeFleet) Usage() UsageReport {
	return UsageReport{
		Uses: []Use{
			{DataCentre: "north", Pool: "a", Member: "m", InUse: 3, Share: 4, Cap: 5, Queued: 1, Granted: 7},
			{DataCentre: "south", Pool: "a", Member: "m", InUse: 2, Share: 4, Cap: 5, Granted: 2},
		},
		Refusals: []Refusal{{DataCentre: "north", Pool: "a", Member: "m", Reason: "queue full", Count: 6}},
	}
}

func (f *fakeFleet) Dump(w io.Writer) { _, _ = fmt.Fprintln(w, "state of the fake") }

// newFleet returns pool a with a1 rebooting, pool b with b2 back from the wave w,
// and the spare pool s.
func newFleet(t *testing.T) *fakeFleet {
	t.Helper()
	text, err := command.Parse(`create pool a budget 1; create pool b budget 1; create pool s budget 0 spare
		create member m cap 10; create member n cap 2 share 3 minimum 1
		add instance a1 address 10.0.0.1:1 dataCentre north rack r slots 8 pool a
		add instance a2 address 10.0.0.2:1 dataCentre south rack r slots 8 pool a
		add instance b1 address 10.0.0.3:1 dataCentre north rack r slots 8 pool b
		add instance b2 address 10.0.0.4:1 dataCentre north rack r slots 8 pool b
		declare wave old for s; end wave old; declare wave w for a, b`)
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeFleet{}
	f.apply(t, "first", text.Steps()...)
	f.apply(t, "second",
		fleet.Command{GrantDrain: &fleet.GrantDrain{Instance: "b2", Wave: "w"}},
		fleet.Command{FinishDrain: &fleet.FinishDrain{Instance: "b2"}},
		fleet.Command{GrantDrain: &fleet.GrantDrain{Instance: "a1", Wave: "w"}},
		fleet.Command{StartReboot: &fleet.StartReboot{Instance: "a1"}},
	)
	return f
}

// apply makes a change that must not be refused.
func (f *fakeFleet) apply(t *testing.T, id string, commands ...fleet.Command) {
	t.Helper()
	next, err := fleet.Apply(f.log, fleet.Change{ID: id, Commands: commands})
	if fate, _ := next.FateOf(id); err != nil || fate.Refusal != "" {
		t.Fatalf("%s refused: %s, %v", id, fate.Refusal, err)
	}
	f.log, f.state = next, next
}

func newOperator(f *fakeFleet) (o *Operator) {
	o = &Operator{
		Fleet: f, Peers: f, Usage: f, Secret: testSecret, Metrics: metrics.NewRegistry(), Parts: []Part{{"fake", f}},
	}
	o.init()
	return o
}

// start serves the API over HTTP and returns its address with a client.
func start(t *testing.T, f *fakeFleet) (url string, c *operatorapi.Client) {
	t.Helper()
	o := newOperator(f)
	metrics.GetOrRegisterTimer("home.submit", o.Metrics).Update(20 * time.Millisecond)
	metrics.GetOrRegisterGaugeFloat64("x.ratio", o.Metrics).Update(0.5)
	h, err := o.Handler()
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	c, err = operatorapi.NewClient(server.URL, bearer(testSecret))
	if err != nil {
		t.Fatal(err)
	}
	return server.URL, c
}

type bearer string

func (b bearer) Secret(context.Context, operatorapi.OperationName) (operatorapi.Secret, error) {
	return operatorapi.Secret{Token: string(b)}, nil
}

func run(t *testing.T, c *operatorapi.Client, text, id string, dry bool) (*operatorapi.Reply, error) {
	t.Helper()
	r := &operatorapi.Statements{Text: text, DryRun: operatorapi.NewOptBool(dry)}
	if id != "" {
		r.ID.SetTo(id)
	}
	return c.RunStatements(t.Context(), r)
}

// Guards against answers that differ from the state, and against advice without
// the rule and the figure that forbid something.
func TestQueries(t *testing.T) {
	const busy, spent = `instance is draining for wave "w"`, `pool "a" has budget 1 and 1 unavailable instance (a1 draining)`
	_, c := start(t, newFleet(t))
	for text, want := range map[string][]string{
		"show pools":   {"a 1 1 2 1 1 0 0 16 ", "b 1 0 2 2 0 0 0 16 ", "s 0 0 0 0 0 0 0 0 yes"},
		"show members": {"m 10 1 0", "n 2 3 1"},
		"show instances in pool a": {
			"a1 a draining yes    w  north r 10.0.0.1:1 8 2", "a2 a serving   yes    south r 10.0.0.2:1 8 1",
		},
		"show instances in pool a in dataCentre south": {"a2 a serving   yes    south r 10.0.0.2:1 8 1"},
		"show waves":               {"old ended s 0 0 0  ", "w running a, b 4 1 1  "},
		"show versions":            {"north 2 2 5", "south 1 9 9", "north e1 0 2 7 ", "north e2 0 5 4 ", "south e3 3 9 0 "},
		"show usage":               {"m 5 8 10 1 9", "n 0 0 2 0 0", "a north m 3 4 5 1 7", "a south m 2 4 5 0 2", "a north m queue full 6"},
		"show movable to pool b":   {"a1 a b no " + busy, "a2 a b no " + spent},
		"show movable":             {"a1 a s no " + busy, "a2 a s no " + spent, "b1 b s yes ", "b2 b s yes "},
		"show drainable in wave w": {"a1 a w no " + busy, "a2 a w no " + spent, "b1 b w yes "},
		"show change first":        {"first applied 1 "},
		"show change never":        {"never unknown  ruled out up to version 2 at entry e1; a later version may have it"},
	} {
		reply, err := run(t, c, text, "", false)
		if err != nil {
			t.Errorf("%s: %v", text, err)
			continue
		}
		var got []string
		for _, table := range reply.Tables {
			for _, r := range table.Rows {
				got = append(got, strings.Join(r.Cells, " "))
			}
		}
		if !slices.Equal(got, want) || reply.Version != 2 {
			t.Errorf("%s at version %d:\n%q, want\n%q", text, reply.Version, got, want)
		}
	}
}

// Guards against errors that tell less than the parser knows, and against a
// name that does not exist being answered with an empty table.
func TestErrors(t *testing.T) {
	_, c := start(t, newFleet(t))
	for text, code := range map[string]int{
		"show pools; show pool":                        http.StatusBadRequest,
		" # nothing":                                   http.StatusBadRequest,
		"show movable to pool z":                       http.StatusNotFound,
		"show instances in pool z":                     http.StatusNotFound,
		"show drainable in wave z":                     http.StatusNotFound,
		strings.Repeat("drop instance i;", maxSteps+1): http.StatusBadRequest,
	} {
		_, err := run(t, c, text, "", false)
		failed, ok := errors.Into[*operatorapi.ErrorStatusCode](err)
		if !ok || failed.StatusCode != code {
			t.Errorf("%.40q: got %v, want %d", text, err, code)
		}
	}
	_, err := run(t, c, "show pools; show pool", "", false)
	failed, _ := errors.Into[*operatorapi.ErrorStatusCode](err)
	if r := failed.Response; r.Line.Value != 1 || r.Column.Value != 18 || r.Word.Value != "pool" || r.Expected.Value == "" {
		t.Errorf("got %+v", r)
	}
}

// Guards against a change that is made twice under one id, reported as done when
// its outcome is unknown or as unknown when it is in force, or made by a dry run.
func TestChanges(t *testing.T) {
	f := newFleet(t)
	_, c := start(t, f)
	const text = "set pool a budget 2; drop instance a1"
	expect := func(text, id string, dry bool, state operatorapi.ChangeState, proposals int) (got operatorapi.ChangeFate) {
		t.Helper()
		reply, err := run(t, c, text, id, dry)
		if err != nil {
			t.Fatal(err)
		}
		if got = reply.Change.Value; got.State != state || len(f.proposed) != proposals {
			t.Errorf("got %+v after %d proposals, want %s after %d", got, len(f.proposed), state, proposals)
		}
		return got
	}
	expect(text, "", true, operatorapi.ChangeStateWouldApply, 0)
	expect("set pool z budget 2", "", true, operatorapi.ChangeStateRefused, 0)
	expect(text, "first", false, operatorapi.ChangeStateApplied, 0)
	one := expect(text, "", false, operatorapi.ChangeStateApplied, 1)
	two := expect("set pool a budget 1", "", false, operatorapi.ChangeStateApplied, 2)
	if one.ID == two.ID || one.ID == "" || len(f.proposed[0].Commands) != 2 || one.Index.Value != 3 {
		t.Errorf("got %+v and %+v", one, two)
	}
	for i, c := range []struct{ text, reason string }{
		{"create pool a budget 2", `setPool "a": already exists`},
		{"set pool z budget 2", `setPool "z": does not exist`},
		{"create member m cap 2", `setMember "m": already exists`},
		{"set member z cap 2", `setMember "z": does not exist`},
	} {
		got := expect(c.text, "", false, operatorapi.ChangeStateRefused, 3+i)
		if got.Reason.Value != c.reason || got.Index.Value != int64(5+i) {
			t.Errorf("%s: got %+v, want %s", c.text, got, c.reason)
		}
	}
	f.err = errors.New("the log does not answer")
	expect("set pool a budget 3", "late", false, operatorapi.ChangeStateApplied, 7)
	f.behind = true
	lost := expect("set pool a budget 3", "lost", false, operatorapi.ChangeStateUnknown, 8)
	if lost.ID != "lost" || !strings.Contains(lost.Reason.Value, "the log does not answer") {
		t.Errorf("got %+v", lost)
	}
	f.err, f.behind = nil, false
	again := expect("set pool a budget 3", "lost", false, operatorapi.ChangeStateApplied, 9)
	if again.Index.Value != 10 || f.log.Version != 11 {
		t.Errorf("got %+v at version %d", again, f.log.Version)
	}
	expect("set pool a budget 3", "lost", false, operatorapi.ChangeStateApplied, 9)
	fate, err := c.GetChange(t.Context(), operatorapi.GetChangeParams{ID: "lost"})
	if err != nil || fate.State != operatorapi.ChangeStateApplied {
		t.Errorf("got %+v, %v", fate, err)
	}
}

// Guards against an answer that rules out a change whose fate is no longer kept.
func TestForgottenChanges(t *testing.T) {
	f := newFleet(t)
	_, c := start(t, f)
	f.err, f.behind = errors.New("the log does not answer"), true
	expect := func(id string, state operatorapi.ChangeState, reason string) {
		t.Helper()
		fate, err := c.GetChange(t.Context(), operatorapi.GetChangeParams{ID: id})
		if err != nil || fate.State != state || !strings.HasPrefix(fate.Reason.Value, reason) {
			t.Errorf("asked for: got %+v, %v", fate, err)
		}
		reply, err := run(t, c, "set pool a budget 2", id, false)
		if err != nil {
			t.Fatal(err)
		}
		fate = &reply.Change.Value
		if fate.State != state || !strings.Contains(fate.Reason.Value, reason) {
			t.Errorf("sent again: got %+v", fate)
		}
	}
	expect("first", operatorapi.ChangeStateApplied, "")
	expect("never", operatorapi.ChangeStateUnknown, "ruled out up to version 2 at entry e1")
	one := fleet.Command{SetPool: &fleet.SetPool{Name: "a"}}
	f.log = f.state
	for n := range fleet.KeptFates {
		f.apply(t, fmt.Sprint(n), one)
	}
	expect("first", operatorapi.ChangeStateUnknown,
		"cannot be ruled out at entry e1, which keeps the fates from index 3 to version 4098 only")
}

// Guards against two operators who both create a name: each entry sees the state
// without it, and only the log can refuse the second one.
func TestConcurrentCreates(t *testing.T) {
	f := newFleet(t)
	f.delay = time.Second
	entries := []*Operator{newOperator(f), newOperator(f)}
	synctest.Test(t, func(t *testing.T) {
		var fates [2]operatorapi.ChangeFate
		var wg sync.WaitGroup
		for i, o := range entries {
			wg.Go(func() {
				text := fmt.Sprintf("create pool c budget %d", i+1)
				reply, err := handler{o}.RunStatements(t.Context(), &operatorapi.Statements{Text: text})
				if err != nil {
					t.Error(err)
					return
				}
				fates[i] = reply.Change.Value
			})
		}
		wg.Wait()
		won, lost := 0, 1
		if fates[0].State != operatorapi.ChangeStateApplied {
			won, lost = 1, 0
		}
		if fates[won].State != operatorapi.ChangeStateApplied || fates[lost].State != operatorapi.ChangeStateRefused ||
			fates[lost].Reason.Value != `setPool "c": already exists` || fates[won].Index.Value >= fates[lost].Index.Value {
			t.Errorf("got %+v", fates)
		}
		if got := f.state.Pools["c"].Budget; got != won+1 {
			t.Errorf("budget is %d, not the one of the change that was applied", got)
		}
	})
}

// Guards against calls without the secret, large bodies and floods.
func TestAccess(t *testing.T) {
	url, _ := start(t, newFleet(t))
	for _, token := range []string{"", "wrong", testSecret + "x"} {
		other, err := operatorapi.NewClient(url, bearer(token))
		if err != nil {
			t.Fatal(err)
		}
		_, err = other.ListMetrics(t.Context())
		failed, ok := errors.Into[*operatorapi.ErrorStatusCode](err)
		if !ok || failed.StatusCode != http.StatusUnauthorized {
			t.Errorf("token %q: got %v", token, err)
		}
	}
	if sameSecret("", "") {
		t.Error("an operator without a secret lets everyone in")
	}
	body := strings.NewReader(`{"text":"` + strings.Repeat("#", maxBodyBytes) + `"}`)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/statements", body)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testSecret)
	r.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("large body answered with %d", answer.StatusCode)
	}
	o := newOperator(newFleet(t))
	var limited *operatorapi.ErrorStatusCode
	for range 3 * callBurst {
		_, err = handler{o}.HandleSecret(t.Context(), operatorapi.DumpStateOperation, operatorapi.Secret{Token: testSecret})
		if err != nil {
			limited = handler{o}.NewError(t.Context(), err)
		}
	}
	if limited == nil || limited.StatusCode != http.StatusTooManyRequests {
		t.Errorf("a flood ends with %v", limited)
	}
}

// Guards against metrics and dumps that lose a part.
func TestMetricsAndDump(t *testing.T) {
	_, c := start(t, newFleet(t))
	m, err := c.ListMetrics(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]float64{
		"home.submit.count": 1, "home.submit.meanMillis": 20, "home.submit.p99Millis": 20, "x.ratio": 0.5, "operator.queries": 0,
	} {
		if got, found := m[name]; !found || got != want {
			t.Errorf("%s is %v, want %v", name, got, want)
		}
	}
	dump, err := c.DumpState(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(dump)
	if err != nil || !strings.Contains(string(text), "entry e1 version 2") || !strings.Contains(string(text), "== fake\nstate of the fake\n") {
		t.Errorf("got %q, %v", text, err)
	}
}
