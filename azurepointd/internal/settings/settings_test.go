package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

const minimalFile = `
[entry]
name = entry-1
dataCentre = north
[listen]
caller = 10.0.0.1:7000
operator = 10.0.0.1:7001
peer = 10.0.0.1:7002
[peers]
secret = sixteen-letters-1
[platform]
address = 10.0.0.9:8500
[operators]
secret = sixteen-letters-2
`

func writeFile(t *testing.T, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "a.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// loadProblems returns the problems that Load reports for a file, sorted.
func loadProblems(t *testing.T, path string) (lines []string) {
	t.Helper()
	_, err := Load(path)
	check, found := errors.Into[*CheckError](err)
	if !found {
		t.Fatalf("not a CheckError: %v", err)
	}
	for _, p := range check.Problems {
		lines = append(lines, p.String())
	}
	slices.Sort(lines)
	return lines
}

// Guards against an example file that the daemon refuses, that omits a key, or whose
// values differ from the defaults in the code.
func TestExampleFileMatchesDefaults(t *testing.T) {
	s, err := Load("../../azurepointd.ini")
	if err != nil {
		t.Fatal(err)
	}
	want := Defaults()
	want.Entry, want.Listen, want.Peers.Join = s.Entry, s.Listen, s.Peers.Join
	want.Peers.Secret, want.Operators.Secret = s.Peers.Secret, s.Operators.Secret
	want.Platform.Address = s.Platform.Address
	if fmt.Sprintf("%+v", s) != fmt.Sprintf("%+v", want) {
		t.Errorf("got  %+v\nwant %+v", s, want)
	}
	text, err := os.ReadFile("../../azurepointd.ini")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range keys() {
		if !strings.Contains(string(text), "\n"+k.name.Key+" = ") && k.name.Key != "secretFile" {
			t.Errorf("%s is not in the example", k.name)
		}
	}
}

// Guards against problems that are only reported after others are corrected, and
// against problems that are merely consequences of others.
func TestLoadReportsEveryProblem(t *testing.T) {
	const path = "testdata/faults.ini"
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for line := range strings.Lines(string(text)) {
		if fault, found := strings.CutPrefix(line, "# want "); found {
			want = append(want, strings.TrimSpace(fault))
		}
	}
	slices.Sort(want)
	if got := loadProblems(t, path); len(want) < 19 || !slices.Equal(got, want) {
		t.Errorf("got:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against values that are valid individually but not in combination, and
// against required settings other than names, addresses and secrets.
func TestCheckRejectsInvalidCombinations(t *testing.T) {
	for _, c := range []struct {
		change func(s *Settings)
		want   Name
	}{
		{func(s *Settings) { s.Listen.Peer = s.Listen.Caller }, peerName},
		{func(s *Settings) { s.Listen.Operator = s.Listen.Caller }, operatorName},
		{func(s *Settings) { s.Listen.Operator = s.Listen.Peer }, operatorName},
		{func(s *Settings) { s.Listen.Peer = netip.MustParseAddrPort("[::]:7002") }, peerName},
		{func(s *Settings) { s.Peers.Join = []netip.AddrPort{s.Listen.Caller} }, joinName},
		{func(s *Settings) { s.Peers.Join = []netip.AddrPort{s.Listen.Operator} }, joinName},
		{func(s *Settings) { s.Platform.Address = s.Listen.Peer }, Name{"platform", "address"}},
		{func(s *Settings) { s.Operators.Secret = s.Peers.Secret }, Name{"operators", "secret"}},
		{func(s *Settings) { s.Peers.Lifetime = 2 * s.Peers.Heartbeat }, Name{"peers", "lifetime"}},
		{func(s *Settings) { s.Limits.ClockError = s.Peers.Lifetime }, Name{"peers", "lifetime"}},
		{func(s *Settings) { s.Dispatch.LongestGrant = grantMargin + s.Limits.ClockError }, longestGrantName},
		{func(s *Settings) { s.Requests.KeyLifetime = s.Dispatch.LongestGrant }, Name{"requests", "keyLifetime"}},
		{func(s *Settings) { s.Maintenance.RebootDeadline = s.Maintenance.FailedAfter / 2 }, Name{"upkeep", "rebootDeadline"}},
	} {
		s, err := Load(writeFile(t, minimalFile))
		if err != nil || Check(s) != nil || s.Limits != Defaults().Limits || s.Entry.DataCentre != "north" {
			t.Fatalf("minimal file: %+v, %v", s, err)
		}
		c.change(&s)
		var check *CheckError
		if err = Check(s); !errors.As(err, &check) || check.Problems[0].Name != c.want {
			t.Errorf("want a problem of %s, got %v", c.want, err)
		}
	}
}

// Guards against an entry that joins itself, against a secret file that is read with
// its line ending or from the wrong directory, and against secrets in logs.
func TestSecretFileAndOwnAddress(t *testing.T) {
	text := strings.Replace(minimalFile, "secret = sixteen-letters-1",
		"secretFile = peers.secret ; comment\njoin = 10.0.0.1:7002,10.0.0.2:7002", 1)
	path := writeFile(t, text)
	if err := os.WriteFile(filepath.Join(filepath.Dir(path), "peers.secret"), []byte("from a file; 16 or more#\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(s.Peers.Secret) != "from a file; 16 or more#" {
		t.Errorf("secret is %q", string(s.Peers.Secret))
	}
	if len(s.Peers.Join) != 1 || s.Peers.Join[0] != netip.MustParseAddrPort("10.0.0.2:7002") {
		t.Errorf("join is %v", s.Peers.Join)
	}
	printed, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var dump strings.Builder
	s.Dump(&dump)
	if !strings.Contains(dump.String(), "[peers] lifetime = 2s\n") {
		t.Errorf("dump is %s", dump.String())
	}
	for _, out := range []string{string(printed), fmt.Sprintf("%v %+v %#v", s, s, s), dump.String()} {
		if strings.Contains(out, "16 or more") {
			t.Errorf("secret shown in %s", out)
		}
	}
	conflict := loadProblems(t, writeFile(t, minimalFile+"secretFile = x\n"))
	if !slices.Equal(conflict, []string{"[operators] secretFile: cannot be set together with [operators] secret"}) {
		t.Errorf("got %q", conflict)
	}
}

// Guards against input that makes Load panic, and against a file that Load accepts but
// Check refuses.
func FuzzLoad(f *testing.F) {
	f.Add(minimalFile)
	f.Add("[peers]\nheartbeat = 1h\n[listen]\npeer=:0\n")
	f.Add("a = \"\"\"\n[x")
	path := filepath.Join(f.TempDir(), "a.ini")
	f.Fuzz(func(t *testing.T, text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Load(path)
		if err != nil {
			return
		}
		if err = Check(s); err != nil {
			t.Error(err)
		}
	})
}
