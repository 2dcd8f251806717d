package operator

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/azurepoint/azurepoint/api/operatorapi"
)

// Guards against tables that differ from the state, and against refusals in the
// movable and drainable tables that name no rule or figure.
func TestQueries(t *testing.T) {
	const busy, spent = `instance is draining for wave "w"`, `pool "a" has budget 1 and 1 unavailable instance (a1 draining)`
	_, c := startServer(t, newOperator(newFleet(t)))
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
		reply, err := c.RunStatements(t.Context(), &operatorapi.Statements{Text: text})
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

// Guards against syntax errors without the position, word and expectation that the
// parser reports, and against an empty table in response to a name that does not
// exist.
func TestStatementErrors(t *testing.T) {
	_, c := startServer(t, newOperator(newFleet(t)))
	for text, code := range map[string]int{
		"show pools; show pool":                        http.StatusBadRequest,
		" # nothing":                                   http.StatusBadRequest,
		"show movable to pool z":                       http.StatusNotFound,
		"show instances in pool z":                     http.StatusNotFound,
		"show drainable in wave z":                     http.StatusNotFound,
		strings.Repeat("drop instance i;", maxSteps+1): http.StatusBadRequest,
	} {
		_, err := c.RunStatements(t.Context(), &operatorapi.Statements{Text: text})
		if errorResponse(err).StatusCode != code {
			t.Errorf("%.40q: got %v, want %d", text, err, code)
		}
	}
	_, err := c.RunStatements(t.Context(), &operatorapi.Statements{Text: "show pools; show pool"})
	if r := errorResponse(err).Response; r.Line.Value != 1 || r.Column.Value != 18 || r.Word.Value != "pool" || r.Expected.Value == "" {
		t.Errorf("got %+v", r)
	}
}

// Guards against calls without the secret being served.
func TestWrongSecretIsRefused(t *testing.T) {
	url, _ := startServer(t, newOperator(newFleet(t)))
	for _, token := range []string{"", "wrong", testSecret + "x"} {
		_, err := newClient(t, url, token).ListMetrics(t.Context())
		if errorResponse(err).StatusCode != http.StatusUnauthorized {
			t.Errorf("token %q: got %v", token, err)
		}
	}
	if sameSecret("", "") {
		t.Error("an empty secret matches an empty token")
	}
}

// Guards against request bodies that exhaust the memory.
func TestLargeBodyIsRefused(t *testing.T) {
	url, _ := startServer(t, newOperator(newFleet(t)))
	body := strings.NewReader(`{"text":"` + strings.Repeat("#", MaxBodyBytes) + `"}`)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/statements", body)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testSecret)
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("large body answered with %d", response.StatusCode)
	}
}

// Guards against unlimited calls, and against a rate limit that does not recover.
func TestFlood(t *testing.T) {
	h := handler{newOperator(newFleet(t))}
	countAllowed := func() (allowed int) {
		for range 3 * callBurst {
			_, err := h.HandleSecret(t.Context(), operatorapi.DumpStateOperation, operatorapi.Secret{Token: testSecret})
			if err == nil {
				allowed++
			} else if code := h.NewError(t.Context(), err).StatusCode; code != http.StatusTooManyRequests {
				t.Errorf("refused with %d", code)
			}
		}
		return allowed
	}
	synctest.Test(t, func(*testing.T) {
		first := countAllowed()
		time.Sleep(time.Second)
		if second := countAllowed(); first != callBurst || second != callRate {
			t.Errorf("%d calls at once and %d a second later were allowed", first, second)
		}
	})
}

// Guards against metrics or dumps that omit a registered metric or a part.
func TestMetricsAndDump(t *testing.T) {
	o := newOperator(newFleet(t))
	metrics.GetOrRegisterTimer("home.submit", o.Metrics).Update(20 * time.Millisecond)
	metrics.GetOrRegisterGaugeFloat64("x.ratio", o.Metrics).Update(0.5)
	_, c := startServer(t, o)
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
