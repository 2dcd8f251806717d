package main

import (
	"bufio"
	"errors"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/azurepoint/azurepoint/coordination/platform"
)

const runMain = "PLATFORMD_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
	}
	os.Exit(m.Run())
}

// Guards against a ready line that is printed before the port accepts calls, and
// against a process that does not exit cleanly on SIGTERM.
func TestProcess(t *testing.T) {
	p := exec.CommandContext(t.Context(), os.Args[0], "--listen", "127.0.0.1:0")
	p.Env = append(os.Environ(), runMain+"=1")
	out, err := p.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err = p.Start(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	address, found := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	if err != nil || !found {
		t.Fatalf("first line %q, error %v", line, err)
	}
	c := &platform.Client{Address: address}
	if _, found, err = c.Get(t.Context(), "a"); found || err != nil {
		t.Errorf("found %v, error %v", found, err)
	}
	if err = p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err = p.Wait(); err != nil {
		t.Errorf("process ended with %v", err)
	}
}

// Guards against an invalid flag that is ignored.
func TestWrongFlag(t *testing.T) {
	p := exec.CommandContext(t.Context(), os.Args[0], "--lag", "soon")
	p.Env = append(os.Environ(), runMain+"=1")
	text, err := p.CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || !strings.Contains(string(text), "--lag") {
		t.Errorf("error %v, output %s", err, text)
	}
}
