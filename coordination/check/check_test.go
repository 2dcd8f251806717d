package check

import (
	"fmt"
	"strings"
	"testing"
)

// base is a configuration without faults; %s are further fields of the queue, the pool and the
// organisation.
const base = `{"version": 3,
"queues": [{"name": "q", "host": "h", "prefix": "/q/", "pool": "p" %s}],
"pools": [{"name": "p" %s}],
"organisations": [{"name": "o", "keys": ["k"] %s}] %s}`

// checkText returns the faults of a text, one a line.
func checkText(t *testing.T, text string) (faults string) {
	t.Helper()
	c, found, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range append(found, Check(c)...) {
		faults += fmt.Sprintf("%d %s %s %s\n", f.Line, f.Severity, f.Key, f.Text)
	}
	return faults
}

// Guards against faults that are not found, and against faults of a sound configuration.
func TestCheck(t *testing.T) {
	for _, c := range []struct{ name, queue, pool, organisation, more, want string }{
		{name: "sound", organisation: `, "weight": 2, "limit": {"cpu": 3000}`, queue: `, "task": {"cpu": 1000, "gang": 3}`},
		{name: "unknown key", queue: `, "colour": 1`, want: "2 error queues[0].colour unknown key"},
		{name: "repeated key", queue: `, "pool": "p"`, want: "2 error queues[0].pool the key occurs twice"},
		{name: "type", queue: `, "stretch": "2"`, want: "2 error queues[0].stretch is not a number"},
		{name: "negative", organisation: `, "limit": {"cpu": -1}`, want: "4 error organisations[0].limit.cpu is negative"},
		{name: "fraction", organisation: `, "limit": {"cpu": 1.5}`, want: "4 error organisations[0].limit.cpu is not a whole number"},
		{name: "no object", organisation: `, "limit": 4`, want: "4 error organisations[0].limit is not an object"},
		{name: "spare", pool: `, "spare": true`, want: "2 error queues[0].pool pool p is spare"},
		{name: "gang above pool", queue: `, "task": {"cpu": 10, "gang": 4}`, pool: `, "capacity": {"cpu": 30}`, want: "queues[0].task.cpu tasks that start together take 40"},
		{name: "no task", queue: `, "task": {"cpu": 10}`, organisation: `, "limit": {"cpu": 9}`, want: "4 error organisations[0].limit admits no task"},
		{name: "no gang", queue: `, "task": {"cpu": 10, "gang": 2}`, organisation: `, "limit": {"cpu": 19}`, want: "4 error organisations[0].limit admits no gang of 2"},
		{name: "contradiction", queue: `, "task": {"cpu": 10, "memoryMb": 10}`, organisation: `, "limit": {"cpu": 100, "memoryMb": 40}`, want: "4 warning organisations[0].limit.cpu contradicts"},
		{name: "late", queue: `, "stretch": 0.5`, want: "2 warning queues[0].stretch below 1"},
		{name: "second spare", more: `, "pools": [{"name": "p"}, {"name": "a", "spare": true}, {"name": "b", "spare": true}]`, want: "pools[2].spare pool a is spare already"},
		{name: "unused", more: `, "pools": [{"name": "p"}, {"name": "a"}]`, want: "warning pools[1] no queue uses pool a"},
		{name: "no pool", more: `, "pools": []`, want: `error queues[0].pool there is no pool "p"`},
		{name: "no slash", more: `, "queues": [{"name": "a", "host": "h", "prefix": "q/", "pool": "p"}]`, want: "queues[0].prefix does not begin with a slash"},
		{name: "port", more: `, "queues": [{"name": "a", "host": "h:80", "prefix": "/q/", "pool": "p"}]`, want: "queues[0].host"},
		{
			name: "shadowed", more: `, "queues": [{"name": "a", "host": "h", "prefix": "/q/", "pool": "p"}, {"name": "b", "host": "h", "prefix": "/q/", "pool": "p"}]`,
			want: "error queues[1].prefix queue a has the same host and prefix",
		},
		{name: "shared key", more: `, "organisations": [{"name": "a", "keys": ["k"]}, {"name": "b", "keys": ["", "k"]}]`, want: "error organisations[1].keys[1] organisation a has the same key"},
		{name: "no keys", more: `, "organisations": [{"name": "a"}]`, want: "error organisations no organisation has a key"},
		{name: "no weight", more: `, "organisations": [{"name": "a", "keys": ["1"], "weight": 1}, {"name": "b", "keys": ["2"]}]`, want: "warning organisations[1] organisation b has no weight"},
		{name: "same name", more: `, "organisations": [{"name": "a", "keys": ["1"]}, {"name": "a", "keys": ["2"]}]`, want: "error organisations[1].name there is another organisation a"},
		{name: "limits of callers", more: `, "callers": {"headBytes": 16384, "bodyBytes": 262144, "headTimeoutMillis": 3000, "idleTimeoutMillis": 15000}`},
		{name: "small head", more: `, "callers": {"headBytes": 0}`, want: "error callers.headBytes is outside 1024 to 1048576"},
		{name: "long time", more: `, "callers": {"idleTimeoutMillis": 3600001}`, want: "error callers.idleTimeoutMillis is outside 100 to 3600000"},
		{name: "no name", more: `, "pools": [{"name": "p"}, {"spare": true}]`, want: "error pools[1] has no name"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := checkText(t, fmt.Sprintf(base, c.queue, c.pool, c.organisation, c.more))
			if c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Errorf("faults:\n%s\nwant %q", got, c.want)
			}
		})
	}
}

// Guards against a change that is not named, and against keys in the output.
func TestCompare(t *testing.T) {
	before, _, err := Parse(fmt.Appendf(nil, base, "", "", `, "limit": {"cpu": 5}`, ""))
	if err != nil {
		t.Fatal(err)
	}
	after, _, err := Parse([]byte(`{"version": 4,
"queues": [{"name": "q", "host": "h", "prefix": "/q/", "pool": "r", "priority": 1}, {"name": "new", "host": "h", "prefix": "/n/", "pool": "r"}],
"pools": [{"name": "r"}],
"organisations": [{"name": "o", "keys": ["secret"], "weight": 2, "limit": {"cpu": 4, "gpu": 2}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	got := strings.Join(Compare(before, after), "\n")
	for _, want := range []string{
		"queue q: pool r, was p", "queue q: priority 1, was 0", "queue new is new", "pool p is removed", "organisation o: weight 2, was 0",
		"organisation o: limit cpu 4, was 5: nothing starts until", "organisation o: limit gpu 2, was none", "keys added: 1", "keys removed: 1",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing in\n%s", want, got)
		}
	}
	if strings.Contains(got, "secret") || len(Compare(after, after)) != 1 || !strings.Contains(Compare(after, after)[0], "is not above") {
		t.Errorf("changes %v of a configuration to itself; all:\n%s", Compare(after, after), got)
	}
	if got = strings.Join(Compare(after, before), "\n"); !strings.Contains(got, "limit cpu 5, was 4: more may start") || !strings.Contains(got, "limit gpu none, was 2: more may start") || !strings.Contains(got, "queue new is removed") {
		t.Errorf("changes back:\n%s", got)
	}
}

// FuzzCheck guards against a file that ends the program.
func FuzzCheck(f *testing.F) {
	f.Add(fmt.Sprintf(base, "", "", "", ""))
	f.Add(`{"queues": {}, "pools": [[]], "organisations": [null, {"keys": {"a": 1}, "limit": []}]}`)
	f.Add(`[1e999, "\u0000"]`)
	f.Add(`{"version": 1e300}`)
	f.Fuzz(func(_ *testing.T, text string) {
		if c, _, err := Parse([]byte(text)); err == nil {
			Check(c)
			Compare(c, c)
		}
	})
}
