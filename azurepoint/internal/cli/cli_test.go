package cli

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/azurepoint/azurepoint/api/operatorapi"
	"github.com/azurepoint/azurepoint/coordination/command"
	"github.com/azurepoint/azurepoint/coordination/fleet"
)

const testSecret = "operators-only-1234"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"azurepoint": func() { os.Exit(Main()) }})
}

// Runs the scripts, whose comments say which failure each part guards against. The
// operators' API handlers of an entry are internal to another module, so the
// scripts run against fakeEntry, which uses the real parser.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) (err error) {
			e := &fakeEntry{results: make(map[string]operatorapi.ChangeFate)}
			server, err := operatorapi.NewServer(e, e)
			if err != nil {
				return err
			}
			// Each variable holds the address of a server with a different fault.
			for name, h := range map[string]http.Handler{
				"ADDRESS":   server,
				"LOSESONE":  dropAnswers(server, 1),
				"LOSESALL":  dropAnswers(server, 1_000_000),
				"LOSESTHEN": rejectAfterFirst(dropAnswers(server, 1)),
			} {
				s := httptest.NewServer(h)
				env.Defer(s.Close)
				env.Setenv(name, strings.TrimPrefix(s.URL, "http://"))
			}
			// Nothing listens at port 1. A port that a test has closed could be
			// assigned to another process; port 1 is below the range of ephemeral
			// ports.
			env.Setenv("CLOSED", "127.0.0.1:1")
			env.Setenv("AZUREPOINT_ADDRESS", env.Getenv("ADDRESS"))
			env.Setenv("AZUREPOINT_SECRET_FILE", "secret")
			return os.WriteFile(filepath.Join(env.WorkDir, "secret"), []byte(testSecret+"\n"), 0o600)
		},
	})
}

// Guards against a man page whose options, environment variables or subcommands
// differ from those of the program.
func TestManPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/azurepoint.1")
	if err != nil {
		t.Fatal(err)
	}
	var help strings.Builder
	for _, args := range [][]string{{"--help"}, {"run", "--help"}, {"check", "--help"}, {"explain", "--help"}} {
		if code := Run(t.Context(), args, nil, &help, &help); code != ExitDone {
			t.Fatalf("%v: exit code %d", args, code)
		}
	}
	for _, pattern := range []struct{ help, page string }{
		{`--([a-z-]+)`, `(?:Fl|,) -([a-z-]+)`},
		{`env: ([A-Z_]+)`, `Ev ([A-Z_]+)`},
		{`(?m)^  ([a-z]+) `, `Cm ((?:[a-z]+[ ,|]*)+)`},
	} {
		want, got := distinctWords(pattern.help, help.String()), distinctWords(pattern.page, string(page))
		if len(want) == 0 || !slices.Equal(got, want) {
			t.Errorf("the man page has %q, the program has %q", got, want)
		}
	}
}

// distinctWords returns the sorted, distinct words of the first group of all
// matches.
func distinctWords(pattern, text string) (words []string) {
	separators := func(r rune) bool { return strings.ContainsRune(" ,|", r) }
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		words = append(words, strings.FieldsFunc(m[1], separators)...)
	}
	slices.Sort(words)
	return slices.Compact(words)
}

// dropAnswers runs the handler, but closes the connection instead of answering for
// the given number of first requests.
func dropAnswers(h http.Handler, answers int) http.Handler {
	var mu sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if answers == 0 {
			h.ServeHTTP(w, r)
			return
		}
		answers--
		h.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

// rejectAfterFirst answers every request after the first with the status 409.
func rejectAfterFirst(h http.Handler) http.Handler {
	var once sync.Once
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		once.Do(func() { h.ServeHTTP(w, r) })
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"message":"not here"}`))
	})
}

// fakeEntry implements the operators' API for tests. A change is refused if it
// sets a budget of 13. Its outcome is unknown if it changes the pool stuck, and at
// the first call also if it changes the pool slow.
type fakeEntry struct {
	operatorapi.UnimplementedHandler
	mu         sync.Mutex
	version    int64
	results    map[string]operatorapi.ChangeFate
	slowCalled bool
}

func (e *fakeEntry) HandleSecret(
	ctx context.Context, _ operatorapi.OperationName, s operatorapi.Secret,
) (context.Context, error) {
	if s.Token != testSecret {
		return ctx, errors.New("wrong secret")
	}
	return ctx, nil
}

func (e *fakeEntry) NewError(_ context.Context, err error) *operatorapi.ErrorStatusCode {
	return &operatorapi.ErrorStatusCode{StatusCode: http.StatusUnauthorized, Response: operatorapi.Error{Message: err.Error()}}
}

func (e *fakeEntry) RunStatements(_ context.Context, r *operatorapi.Statements) (*operatorapi.Reply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	text, err := command.Parse(r.Text)
	if s, bad := errors.Into[*command.SyntaxError](err); bad {
		return nil, &operatorapi.ErrorStatusCode{StatusCode: http.StatusBadRequest, Response: operatorapi.Error{
			Message: s.Error(), Line: operatorapi.NewOptInt(s.Line), Column: operatorapi.NewOptInt(s.Column),
		}}
	}
	reply := &operatorapi.Reply{Version: e.version}
	if len(text.Commands) > 0 {
		reply.Change.SetTo(e.applyChange(r, text.Steps()))
	}
	for range text.Queries {
		reply.Tables = append(reply.Tables, operatorapi.Table{
			Title: "pools", Columns: []string{"pool", "budget", "note"},
			Rows: []operatorapi.Row{{Cells: []string{"cover", "2", "a\tb\x1b[2J"}}, {Cells: []string{"x", "12345678", ""}}},
		})
	}
	return reply, nil
}

func (e *fakeEntry) applyChange(r *operatorapi.Statements, steps []fleet.Command) (result operatorapi.ChangeFate) {
	if f, known := e.results[r.ID.Value]; known {
		return f
	}
	result = operatorapi.ChangeFate{ID: r.ID.Value, State: operatorapi.ChangeStateApplied}
	for _, s := range steps {
		switch {
		case s.SetPool == nil:
		case *s.SetPool.Budget == 13:
			result.State = operatorapi.ChangeStateRefused
			result.Reason.SetTo("budget 13 by " + r.Author.Value)
		case s.SetPool.Name == "stuck" || (s.SetPool.Name == "slow" && !e.slowCalled):
			e.slowCalled = s.SetPool.Name == "slow"
			result.State = operatorapi.ChangeStateUnknown
			return result
		}
	}
	if r.DryRun.Value {
		result.State = operatorapi.ChangeStateWouldApply
		return result
	}
	e.version++
	result.Index.SetTo(e.version)
	e.results[result.ID] = result
	return result
}

func (e *fakeEntry) GetChange(_ context.Context, p operatorapi.GetChangeParams) (*operatorapi.ChangeFate, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f, known := e.results[p.ID]; known {
		return &f, nil
	}
	return &operatorapi.ChangeFate{ID: p.ID, State: operatorapi.ChangeStateUnknown}, nil
}

func (e *fakeEntry) DumpState(context.Context) (operatorapi.DumpStateOK, error) {
	return operatorapi.DumpStateOK{Data: strings.NewReader("entry e1\n== home\nopen 3\n")}, nil
}

func (e *fakeEntry) ListMetrics(context.Context) (operatorapi.Metrics, error) {
	return operatorapi.Metrics{"home.open": 3, "home.submit.p99Millis": 1.25}, nil
}
