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

// Each script guards against what its comments say. The entry's real handlers
// are internal to another module; the stand-in here has the real parser.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) (err error) {
			e := &entry{fates: make(map[string]operatorapi.ChangeFate)}
			server, err := operatorapi.NewServer(e, e)
			if err != nil {
				return err
			}
			// Each name is an address with one way to fail.
			for name, h := range map[string]http.Handler{
				"ADDRESS":   server,
				"LOSESONE":  losing(server, 1),
				"LOSESALL":  losing(server, 1_000_000),
				"LOSESTHEN": refusing(losing(server, 1)),
			} {
				s := httptest.NewServer(h)
				env.Defer(s.Close)
				env.Setenv(name, strings.TrimPrefix(s.URL, "http://"))
			}
			// A port that was closed again may be given to another process; port 1 is
			// below the range of ports that are given out.
			env.Setenv("CLOSED", "127.0.0.1:1")
			env.Setenv("AZUREPOINT_ADDRESS", env.Getenv("ADDRESS"))
			env.Setenv("AZUREPOINT_SECRET_FILE", "secret")
			return os.WriteFile(filepath.Join(env.WorkDir, "secret"), []byte(testSecret+"\n"), 0o600)
		},
	})
}

// Guards against a man page whose options, variables or commands are not those of
// the program.
func TestManPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/azurepoint.1")
	if err != nil {
		t.Fatal(err)
	}
	var help strings.Builder
	for _, args := range [][]string{{"--help"}, {"run", "--help"}} {
		if code := Run(t.Context(), args, nil, &help, &help); code != ExitDone {
			t.Fatalf("%v exits with %d", args, code)
		}
	}
	for _, form := range []struct{ help, page string }{
		{`--([a-z-]+)`, `(?:Fl|,) -([a-z-]+)`},
		{`env: ([A-Z_]+)`, `Ev ([A-Z_]+)`},
		{`(?m)^  ([a-z]+) `, `Cm ((?:[a-z]+[ ,|]*)+)`},
	} {
		want, got := matches(form.help, help.String()), matches(form.page, string(page))
		if len(want) == 0 || !slices.Equal(got, want) {
			t.Errorf("the page has %q, the program %q", got, want)
		}
	}
}

// matches returns the different words in the first group of all matches.
func matches(form, text string) (all []string) {
	separators := func(r rune) bool { return strings.ContainsRune(" ,|", r) }
	for _, m := range regexp.MustCompile(form).FindAllStringSubmatch(text, -1) {
		all = append(all, strings.FieldsFunc(m[1], separators)...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// losing cuts the connection of the first answers after the handler has run.
func losing(h http.Handler, answers int) http.Handler {
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

// refusing answers every call after the first with an error.
func refusing(h http.Handler) http.Handler {
	var once sync.Once
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		once.Do(func() { h.ServeHTTP(w, r) })
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"message":"not here"}`))
	})
}

// entry stands in for an entry. A budget of 13 is refused, a change of pool stuck
// has an unknown outcome, and one of pool slow has it at the first call.
type entry struct {
	operatorapi.UnimplementedHandler
	mu      sync.Mutex
	version int64
	fates   map[string]operatorapi.ChangeFate
	slow    bool
}

func (e *entry) HandleSecret(
	ctx context.Context, _ operatorapi.OperationName, s operatorapi.Secret,
) (context.Context, error) {
	if s.Token != testSecret {
		return ctx, errors.New("wrong secret")
	}
	return ctx, nil
}

func (e *entry) NewError(_ context.Context, err error) *operatorapi.ErrorStatusCode {
	return &operatorapi.ErrorStatusCode{StatusCode: http.StatusUnauthorized, Response: operatorapi.Error{Message: err.Error()}}
}

func (e *entry) RunStatements(_ context.Context, r *operatorapi.Statements) (*operatorapi.Reply, error) {
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
		reply.Change.SetTo(e.change(r, text.Steps()))
	}
	for range text.Queries {
		reply.Tables = append(reply.Tables, operatorapi.Table{
			Title: "pools", Columns: []string{"pool", "budget", "note"},
			Rows: []operatorapi.Row{{Cells: []string{"cover", "2", "a\tb\x1b[2J"}}, {Cells: []string{"x", "12345678", ""}}},
		})
	}
	return reply, nil
}

func (e *entry) change(r *operatorapi.Statements, steps []fleet.Command) (f operatorapi.ChangeFate) {
	if f, known := e.fates[r.ID.Value]; known {
		return f
	}
	f = operatorapi.ChangeFate{ID: r.ID.Value, State: operatorapi.ChangeStateApplied}
	for _, s := range steps {
		switch {
		case s.SetPool == nil:
		case *s.SetPool.Budget == 13:
			f.State = operatorapi.ChangeStateRefused
			f.Reason.SetTo("budget 13 by " + r.Author.Value)
		case s.SetPool.Name == "stuck" || (s.SetPool.Name == "slow" && !e.slow):
			e.slow = s.SetPool.Name == "slow"
			f.State = operatorapi.ChangeStateUnknown
			return f
		}
	}
	if r.DryRun.Value {
		f.State = operatorapi.ChangeStateWouldApply
		return f
	}
	e.version++
	f.Index.SetTo(e.version)
	e.fates[f.ID] = f
	return f
}

func (e *entry) GetChange(_ context.Context, p operatorapi.GetChangeParams) (*operatorapi.ChangeFate, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f, known := e.fates[p.ID]; known {
		return &f, nil
	}
	return &operatorapi.ChangeFate{ID: p.ID, State: operatorapi.ChangeStateUnknown}, nil
}

func (e *entry) DumpState(context.Context) (operatorapi.DumpStateOK, error) {
	return operatorapi.DumpStateOK{Data: strings.NewReader("entry e1\n== home\nopen 3\n")}, nil
}

func (e *entry) ListMetrics(context.Context) (operatorapi.Metrics, error) {
	return operatorapi.Metrics{"home.open": 3, "home.submit.p99Millis": 1.25}, nil
}
