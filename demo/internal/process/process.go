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
	// readyWithin bounds the time from start to the line with the addresses.
	readyWithin = 10 * time.Second
	// readyPrefix begins the line that a program prints once it listens.
	readyPrefix = "listening "
)

// Process is one running program.
type Process struct {
	Name string
	// Addresses are what the program printed after "listening", in order.
	Addresses []string

	command *exec.Cmd
	exited  chan error
	log     *os.File
}

// Group starts processes and stops all that are left; the zero value is empty.
type Group struct {
	// Bin is the folder of the programs, Logs that of their standard errors.
	Bin  string
	Logs string

	processes []*Process
}

// Start runs a program and waits until it prints where it listens.
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
	go p.watch(bufio.NewScanner(output), ready)
	select {
	case line, open := <-ready:
		if !open {
			return nil, fmt.Errorf("ended before it listened; see %s", p.log.Name())
		}
		p.Addresses = strings.Fields(line)
		return p, nil
	case <-time.After(readyWithin):
		return nil, fmt.Errorf("not listening after %s; see %s", readyWithin, p.log.Name())
	}
}

// watch reads the program's output to its end and reports the exit.
func (p *Process) watch(output *bufio.Scanner, ready chan<- string) {
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

// Kill ends the process at once, without a chance to clean up, and waits for its
// end, so that its addresses are free again.
func (p *Process) Kill() (err error) {
	if err = p.command.Process.Kill(); err != nil {
		return errors.Wrapf(err, "process: kill %s", p.Name)
	}
	p.exited <- <-p.exited
	return nil
}

// Freeze stops the process from running until Thaw.
func (p *Process) Freeze() (err error) {
	return p.command.Process.Signal(syscall.SIGSTOP)
}

// Thaw lets a frozen process run again.
func (p *Process) Thaw() (err error) {
	return p.command.Process.Signal(syscall.SIGCONT)
}

// Stop asks the process to stop gracefully and waits until it has.
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

// StopAll ends every process of the group, those that do not stop by force.
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

// ID returns the process number.
func (p *Process) ID() int {
	return p.command.Process.Pid
}
