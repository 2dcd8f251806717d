package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const runMain = "AZUREPOINTD_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
	}
	os.Exit(m.Run())
}

// TestSignalsKeepRequests guards against a SIGHUP or a closed log that ends the daemon with a request
// in hand, while it serves and while it stops.
func TestSignalsKeepRequests(t *testing.T) {
	for _, c := range []struct {
		name                string
		before, after       []syscall.Signal
		closeLog, suspended bool
	}{
		{name: "SIGHUP while it serves", before: []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP}},
		{name: "SIGHUP while it stops", after: []syscall.Signal{syscall.SIGHUP}},
		{name: "several signals while it stops", after: []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGINT, syscall.SIGHUP}},
		{name: "SIGHUP while it is suspended in its stop", after: []syscall.Signal{syscall.SIGSTOP, syscall.SIGHUP}},
		{name: "closed log", closeLog: true, before: []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p, operators, logs := startDaemon(t)
			request, err := net.Dial("tcp", operators)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = request.Close() }()
			// The daemon has read the header and waits for the body.
			if _, err = io.WriteString(request, "POST /statements HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			if c.closeLog {
				_ = logs.Close()
			}
			send(p, c.before)
			send(p, []syscall.Signal{syscall.SIGTERM})
			send(p, c.after)
			send(p, []syscall.Signal{syscall.SIGCONT})
			if _, err = io.WriteString(request, "{}"); err != nil {
				t.Error(err)
			}
			answer, err := http.ReadResponse(bufio.NewReader(request), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			_ = answer.Body.Close()
			if err = p.Wait(); err != nil {
				t.Errorf("the daemon ended with %v", err)
			}
		})
	}
}

func send(p *exec.Cmd, signals []syscall.Signal) {
	for _, s := range signals {
		_ = p.Process.Signal(s)
		time.Sleep(50 * time.Millisecond)
	}
}

// startDaemon starts a daemon that reaches no platform. It returns the address for operators and the
// log.
func startDaemon(t *testing.T) (p *exec.Cmd, operators string, logs io.Closer) {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	file := filepath.Join(t.TempDir(), "settings.ini")
	text := fmt.Sprintf("[entry]\nname = entry-1\ndataCentre = north\n[listen]\ncaller = %s:7000\noperator = %s:7001\npeer = %s:7002\n"+
		"[peers]\nsecret = sixteen-letters-1\n[platform]\naddress = %s:8500\n[operators]\nsecret = sixteen-letters-2\n", ip, ip, ip, ip)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p = exec.CommandContext(t.Context(), os.Args[0], file)
	p.Env = append(os.Environ(), runMain+"=1")
	stderr, err := p.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, err := p.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err = p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Process.Kill() })
	line, err := bufio.NewReader(stdout).ReadString('\n')
	addresses := strings.Fields(line)
	if err != nil || len(addresses) != 4 {
		t.Fatalf("first line %q, error %v", line, err)
	}
	go func() { _, _ = io.Copy(io.Discard, stderr) }()
	return p, addresses[2], stderr
}
