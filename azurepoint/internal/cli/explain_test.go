package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const logs = `   1.5 edge-b {"fields":{"event":8302,"job":"aa","reason":"cut off"},"level":"info","timestamp":"2026-01-01T00:00:01Z","message":"job refused"}
{"fields":{"event":8202,"term":2},"timestamp":"2026-01-01T00:00:03Z","message":"took the pools over"}
{"fields":{"event":8402,"job":"bb","task":"0.0.1"},"timestamp":"2026-01-01T00:00:03Z","message":"run ended"}
{"fields":{"event":8404,"task":"aa.0.0.1","run":1},"timestamp":"2026-01-01T00:00:07.5Z","message":"order got no answer"}
{"fields":{"event":8404,"task":"aa.0`

// Guards against output that omits lines of a job, includes lines of other jobs,
// or does not report silences and malformed lines.
func TestExplain(t *testing.T) {
	var out, errs bytes.Buffer
	if code := Run(t.Context(), []string{"explain", "aa"}, strings.NewReader(logs), &out, &errs); code != ExitDone {
		t.Fatalf("code %d: %s", code, &errs)
	}
	for _, want := range []string{
		"edge-b 8302 job refused reason=cut off", "took the pools over", "nothing for 4.5s", "order got no answer", "1 lines could not be read",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, &out)
		}
	}
	if strings.Contains(out.String(), "run ended") {
		t.Errorf("a line of another job in\n%s", &out)
	}
}

const limitLogs = `{"fields":{"event":8301,"job":"aa","organisation":"north"},"timestamp":"2026-01-01T00:00:01Z","message":"job accepted"}
{"fields":{"event":8311,"organisation":"north","cpu":4000},"timestamp":"2026-01-01T00:00:02Z","message":"limit reached"}
{"fields":{"event":8311,"organisation":"south"},"timestamp":"2026-01-01T00:00:02Z","message":"limit reached"}
{"fields":{"event":8313,"job":"aa","organisation":"north"},"timestamp":"2026-01-01T00:00:02.5Z","message":"gang too large"}
{"fields":{"event":8304,"job":"aa"},"timestamp":"2026-01-01T00:00:03Z","message":"job ended"}
{"fields":{"event":8312,"organisation":"north"},"timestamp":"2026-01-01T00:00:09Z","message":"limit left"}
`

// Guards against output that does not show why a job waited for its organisation's limit, or
// shows limits of other organisations or times.
func TestExplainLimit(t *testing.T) {
	var out, errs bytes.Buffer
	if code := Run(t.Context(), []string{"explain", "aa"}, strings.NewReader(limitLogs), &out, &errs); code != ExitDone {
		t.Fatalf("code %d: %s", code, &errs)
	}
	for _, want := range []string{"8311 limit reached cpu=4000 organisation=north", "8313 gang too large"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, &out)
		}
	}
	if strings.Contains(out.String(), "south") || strings.Contains(out.String(), "limit left") {
		t.Errorf("lines that are not about the job in\n%s", &out)
	}
}

// Guards against a job whose expected times an operator cannot see, and against a summary of
// another entry or job that is taken for one without news.
func TestExplainExpectedTimes(t *testing.T) {
	const owner = `{"name":"edge-a","owner":"edge-a","manager":{},"job":{"job":"aa","queue":"quotes","pool":"p","state":"queued",
		"startsInMillis":1500,"endsInMillis":3750,"queueTimes":{"medianMillis":1200,"p90Millis":4000,"key":"size","runs":300},
		"steps":[{"tasks":4,"done":1,"running":2,"medianMillis":900,"p90Millis":2100,"key":"size","runs":40}]}}`
	for _, c := range []struct {
		id, dump, want string
		code           int
	}{
		{"aa", owner, "startsIn=1.5s endsIn=3.75s", ExitDone},
		{"aa", owner, "median=900ms p90=2.1s runs=40 key=size tasks=4", ExitDone},
		{"aa", owner, "queue quotes: median=1.2s p90=4s runs=300 key=size", ExitDone},
		{"bb", owner, `no unfinished job "bb"`, ExitUsage},
		{"aa", `{"name":"edge-b","owner":"edge-a"}`, "edge-b does not manage jobs, ask edge-a", ExitUsage},
		{"aa", "nothing", "is no summary of an entry", ExitUsage},
	} {
		file := filepath.Join(t.TempDir(), "dump.json")
		if err := os.WriteFile(file, []byte(c.dump), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, errs bytes.Buffer
		code := Run(t.Context(), []string{"explain", c.id, "--dump", file}, strings.NewReader(""), &out, &errs)
		if text := out.String() + errs.String(); code != c.code || !strings.Contains(text, c.want) {
			t.Errorf("code %d, %q is missing in %q", code, c.want, text)
		}
	}
}

// Guards against error messages that do not name the cause.
func TestExplainErrors(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
		code int
	}{
		{[]string{"explain", "cc"}, `no log line mentions job "cc"`, ExitRefused},
		{[]string{"explain"}, "id is required", ExitUsage},
		{[]string{"explain", "aa", "no-such-file"}, "no such file", ExitUsage},
	} {
		var out, errs bytes.Buffer
		code := Run(t.Context(), c.args, strings.NewReader(logs), &out, &errs)
		if code != c.code || !strings.Contains(strings.ToLower(errs.String()), strings.ToLower(c.want)) {
			t.Errorf("%v: code %d, %q", c.args, code, &errs)
		}
	}
}
