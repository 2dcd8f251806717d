package standin

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/manager"
)

// Endpoints are endpoints that run tasks by pretending to: a task is done after
// as many milliseconds as its description says, and fails if that is negative.
type Endpoints struct {
	// Fault decides what happens to a call, if it is set.
	Fault func(call, endpoint string) Fault
	// LateBy is the delay of late calls.
	LateBy time.Duration

	mu        sync.Mutex
	endpoints map[string]*fakeEndpoint
	// Violations are broken promises that the endpoints have seen.
	violations []string
}

type fakeEndpoint struct {
	born    time.Time
	fence   int64
	until   int64
	runs    map[string]*fakeRun
	highest map[string]int
	ended   []schedule.Ending
	number  int64
	changed chan struct{}
}

type fakeRun struct {
	run   int
	until time.Time
	fails bool
	lasts bool
}

func (e *Endpoints) endpoint(id string) *fakeEndpoint {
	if e.endpoints == nil {
		e.endpoints = make(map[string]*fakeEndpoint)
	}
	f := e.endpoints[id]
	if f == nil {
		f = &fakeEndpoint{
			born: time.Now(), runs: make(map[string]*fakeRun), highest: make(map[string]int), changed: make(chan struct{}),
		}
		e.endpoints[id] = f
	}
	f.advance(time.Now())
	return f
}

func (f *fakeEndpoint) clock() int64 {
	return time.Since(f.born).Milliseconds() + 1
}

// advance ends runs whose time is over, and all if the lease has lapsed.
func (f *fakeEndpoint) advance(now time.Time) {
	lapsed := f.clock() > f.until
	for _, task := range slices.Sorted(maps.Keys(f.runs)) {
		r := f.runs[task]
		switch {
		case !r.lasts && now.After(r.until) && r.fails:
			f.end(task, schedule.EndFailed)
		case !r.lasts && now.After(r.until):
			f.end(task, schedule.EndDone)
		case lapsed:
			f.end(task, schedule.EndLapsed)
		}
	}
}

func (f *fakeEndpoint) end(task string, how schedule.End) {
	r := f.runs[task]
	delete(f.runs, task)
	f.number++
	f.ended = append(f.ended, schedule.Ending{Number: f.number, Task: task, Run: r.run, How: how})
	close(f.changed)
	f.changed = make(chan struct{})
}

// call carries a call out as the faults say.
func (e *Endpoints) call(ctx context.Context, name, id string, carry func()) error {
	f := Served
	if e.Fault != nil {
		f = e.Fault(name, id)
	}
	switch f {
	case Lost, Refused:
		<-ctx.Done()
		return manager.ErrNoAnswer
	case AnswerLost:
		carry()
		<-ctx.Done()
		return manager.ErrNoAnswer
	case Late:
		time.AfterFunc(e.LateBy, carry)
		<-ctx.Done()
		return manager.ErrNoAnswer
	case Served:
	}
	carry()
	return nil
}

// Start orders a task to start.
func (e *Endpoints) Start(ctx context.Context, t manager.Target, c manager.StartCall) (answer schedule.Answer, err error) {
	answer = schedule.Unknown
	var refused error
	err = e.call(ctx, "start", t.ID, func() { answer, refused = e.start(t, c) })
	if err == nil {
		err = refused
	}
	return answer, err
}

func (e *Endpoints) start(t manager.Target, c manager.StartCall) (answer schedule.Answer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.endpoint(t.ID)
	if c.Fence < f.fence {
		return schedule.NotDone, manager.ErrFenced
	}
	f.fence = c.Fence
	if c.Until < f.clock() {
		return schedule.NotDone, nil
	}
	f.until = max(f.until, c.Until)
	if r := f.runs[c.Task]; r != nil && r.run == c.Run {
		return schedule.Accepted, nil
	}
	if c.Run <= f.highest[c.Task] {
		return schedule.Outdated, nil
	}
	for other, o := range e.endpoints {
		if o.runs[c.Task] != nil {
			e.violations = append(e.violations, c.Task+" starts on "+t.ID+" while it runs on "+other)
		}
	}
	millis, lasts := 0, c.Spec == "lasts"
	if !lasts {
		if millis, err = strconv.Atoi(strings.TrimSpace(c.Spec)); err != nil {
			return schedule.NotDone, err
		}
	}
	f.highest[c.Task] = c.Run
	took := time.Duration(max(millis, -millis)) * time.Millisecond
	f.runs[c.Task] = &fakeRun{run: c.Run, until: time.Now().Add(took), fails: millis < 0, lasts: lasts}
	return schedule.Accepted, nil
}

// Stop orders a run to stop.
func (e *Endpoints) Stop(ctx context.Context, t manager.Target, c manager.RunCall) (answer schedule.Answer, err error) {
	answer = schedule.Unknown
	err = e.call(ctx, "stop", t.ID, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		f := e.endpoint(t.ID)
		if c.Fence < f.fence {
			return
		}
		answer = schedule.Accepted
		f.highest[c.Task] = max(f.highest[c.Task], c.Run)
		if r := f.runs[c.Task]; r != nil && r.run <= c.Run {
			f.end(c.Task, schedule.EndStopped)
		}
	})
	return answer, err
}

// Pace orders a run to work at a share; the stand-in does nothing.
func (e *Endpoints) Pace(ctx context.Context, t manager.Target, _ manager.RunCall) (answer schedule.Answer, err error) {
	return schedule.Accepted, e.call(ctx, "pace", t.ID, func() {})
}

// Hold looks at an endpoint and extends its lease.
func (e *Endpoints) Hold(ctx context.Context, t manager.Target, c manager.HoldCall) (look manager.Look, err error) {
	var refused error
	err = e.call(ctx, "hold", t.ID, func() { look, refused = e.hold(ctx, t.ID, c) })
	if err == nil {
		err = refused
	}
	return look, err
}

// holdPoll is how often a waiting look sees whether a run has ended.
const holdPoll = 10 * time.Millisecond

func (e *Endpoints) hold(ctx context.Context, id string, c manager.HoldCall) (look manager.Look, err error) {
	until := time.Now().Add(c.Wait)
	for {
		e.mu.Lock()
		f := e.endpoint(id)
		if c.Fence < f.fence {
			e.mu.Unlock()
			return manager.Look{}, manager.ErrFenced
		}
		f.fence = c.Fence
		f.until = max(f.until, c.Until)
		f.ended = slices.DeleteFunc(f.ended, func(n schedule.Ending) bool { return n.Number <= c.Acknowledge })
		look = f.look()
		e.mu.Unlock()
		if len(look.Ended) > 0 || !time.Now().Before(until) || ctx.Err() != nil {
			return look, nil
		}
		time.Sleep(holdPoll)
	}
}

func (f *fakeEndpoint) look() (look manager.Look) {
	look.Clock = f.clock()
	look.Born = f.born.UnixMilli()
	look.Ended = slices.Clone(f.ended)
	for _, task := range slices.Sorted(maps.Keys(f.runs)) {
		look.Running = append(look.Running, schedule.Listing{Task: task, Run: f.runs[task].run, Percent: 100})
	}
	return look
}

// Crash ends the lifetime of an endpoint; the next call finds a new one.
func (e *Endpoints) Crash(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.endpoints, id)
}

// Violations returns the broken promises that were seen.
func (e *Endpoints) Violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.violations)
}

// Directory is a list of endpoints that does not change.
type Directory []schedule.Endpoint

// Follow passes the list on once.
func (d Directory) Follow(ctx context.Context, update func(listed []schedule.Endpoint)) <-chan error {
	update(d)
	ended := make(chan error, 1)
	go func() {
		<-ctx.Done()
		ended <- nil
	}()
	return ended
}

// Machines are instances that nobody can move.
type Machines struct{}

// List returns no instances.
func (Machines) List(context.Context) (instances []manager.Instance, err error) {
	return nil, nil
}

// Upkeep refuses.
func (Machines) Upkeep(context.Context, manager.MachineCall) (answer manager.MachineAnswer, err error) {
	return manager.MachineRefused, nil
}

// Move refuses.
func (Machines) Move(context.Context, manager.MachineCall) (answer manager.MachineAnswer, err error) {
	return manager.MachineRefused, nil
}
