package process

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// readyTimeout bounds the time from the start until the line with the addresses.
	readyTimeout = 10 * time.Second
	// readyPrefix begins the line that a program prints once it listens.
	readyPrefix = "listening "
)

// Process is one running program.
type Process struct {
	Name string
	// Addresses are those that the program printed after "listening", in order.
	Addresses []string

	command *exec.Cmd
	exited  chan error
	log     *os.File
}

// Group starts processes and stops all that still run. The zero value has no
// processes.
type Group struct {
	// Bin is the folder of the programs, Logs the folder for their standard error
	// output.
	Bin  string
	Logs string

	processes []*Process
}

// Start runs a program and waits until it prints its addresses.
func (g *Group) Start(ctx context.Context, name, program string, arguments ...string) (p *Process, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "process: start %s", name)
		}
	}()
	p = &Process{Name: name, exited: make(chan error, 1)}
	p.log, err = os.Create(filepath.Join(g.Logs, name+".log")) //nolint:gosec // names are the demo's own
	if err != nil {
		return nil, err
	}
	//nolint:gosec // the programs are those of this project, built beforehand
	p.command = exec.CommandContext(ctx, filepath.Join(g.Bin, program), arguments...)
	p.command.Stderr = p.log
	output, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err = p.command.Start(); err != nil {
		return nil, err
	}
	g.processes = append(g.processes, p)
	ready := make(chan string, 1)
	go p.readOutput(bufio.NewScanner(output), ready)
	select {
	case line, open := <-ready:
		if !open {
			return nil, fmt.Errorf("exited before it was listening: %s; see %s", lastLine(p.log.Name()), p.log.Name())
		}
		p.Addresses = strings.Fields(line)
		return p, nil
	case <-time.After(readyTimeout):
		return nil, fmt.Errorf("not listening after %s; see %s", readyTimeout, p.log.Name())
	}
}

// lastLine returns the last line of a log, which tells why its program has exited.
func lastLine(path string) string {
	text, err := os.ReadFile(path) //nolint:gosec // the log is this group's own
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// readOutput reads the program's output to its end, sends the line with the
// addresses to ready, and then waits for the exit.
func (p *Process) readOutput(output *bufio.Scanner, ready chan<- string) {
	for output.Scan() {
		line, isReady := strings.CutPrefix(output.Text(), readyPrefix)
		if isReady && ready != nil {
			ready <- line
			ready = nil
		}
	}
	if ready != nil {
		close(ready)
	}
	p.exited <- p.command.Wait()
	_ = p.log.Close()
}

// Kill ends the process with SIGKILL and waits for its exit, so that its addresses
// are free again.
func (p *Process) Kill() (err error) {
	if err = p.command.Process.Kill(); err != nil {
		return errors.Wrapf(err, "process: kill %s", p.Name)
	}
	p.exited <- <-p.exited
	return nil
}

// Suspend stops the process with SIGSTOP until Resume is called.
func (p *Process) Suspend() (err error) {
	return p.command.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a suspended process.
func (p *Process) Resume() (err error) {
	return p.command.Process.Signal(syscall.SIGCONT)
}

// Stop sends SIGTERM and waits for the exit of the process.
func (p *Process) Stop(within time.Duration) (err error) {
	if err = p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrapf(err, "process: stop %s", p.Name)
	}
	select {
	case err = <-p.exited:
		p.exited <- err
		return err
	case <-time.After(within):
		return fmt.Errorf("process: %s did not stop within %s", p.Name, within)
	}
}

// StopAll sends SIGTERM to every process of the group and kills those that still
// run after the given time.
func (g *Group) StopAll(within time.Duration) {
	deadline := time.Now().Add(within)
	for _, p := range g.processes {
		_ = p.command.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range g.processes {
		select {
		case err := <-p.exited:
			p.exited <- err
		case <-time.After(time.Until(deadline)):
			_ = p.command.Process.Kill()
			<-p.exited
		}
	}
}

// ID returns the process ID.
func (p *Process) ID() int {
	return p.command.Process.Pid
}
