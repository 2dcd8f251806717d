package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/api/callerapi"
	"github.com/azurepoint/azurepoint/demo/internal/caller"
	"github.com/azurepoint/azurepoint/demo/internal/endpoint"
	"github.com/azurepoint/azurepoint/demo/internal/fleet"
	"github.com/azurepoint/azurepoint/demo/internal/operator"
)

const (
	// requestDeadline is how long a caller of the demo waits.
	requestDeadline = 10 * time.Second
	// pollInterval is the interval between queries of the fleet's state.
	pollInterval = 200 * time.Millisecond
)

// The instance that the demo moves, the wave that it declares, and the entry
// that it kills.
const (
	movedInstance = "payroll-2"
	wave          = "demo-wave"
	killedEntry   = 3
)

var kinds = []caller.Kind{
	{Member: "cafes", Pool: "cover", Urgency: callerapi.UrgencyUrgent, RunMillis: 60},
	{Member: "phones", Pool: "cover", Urgency: callerapi.UrgencyNormal, RunMillis: 120},
	{Member: "accounts", Pool: "payroll", Urgency: callerapi.UrgencyBatch, Repeatable: true, RunMillis: 250},
	{Member: "accounts", Pool: "payroll", Urgency: callerapi.UrgencyBatch, RunMillis: 250},
}

// scenario changes the configuration of a running fleet and kills an entry while
// requests are sent through it.
type scenario struct {
	*fleet.Fleet
}

// run executes the steps one after another, sends an equal part of the requests
// during each step, and checks the whole history at the end.
func (x scenario) run(ctx context.Context, o options, stdout io.Writer) (c Counts, violations []string, err error) {
	load := &caller.LoadGenerator{Kinds: kinds, Deadline: requestDeadline}
	for _, e := range x.Entries {
		load.Entries = append(load.Entries, e.Caller)
	}
	steps := []struct {
		name string
		run  func(ctx context.Context) error
	}{
		{"set a cap", x.setCap},
		{"move an instance", x.moveInstance},
		{"drain an endpoint", x.drainEndpoint},
		{"kill an entry", x.killEntry},
	}
	var records []caller.Record
	requestsPerStep := (o.Requests + len(steps) - 1) / len(steps)
	for _, s := range steps {
		done := make(chan []caller.Record, 1)
		go func() { done <- load.Send(ctx, len(records), requestsPerStep, o.Parallel) }()
		if err = s.run(ctx); err != nil {
			err = fmt.Errorf("cli: %s: %w", s.name, err)
		}
		records = append(records, <-done...)
		fmt.Fprintf(stdout, "demo: %s: %d requests sent\n", s.name, len(records))
		if err != nil {
			break
		}
	}
	events, historyErr := x.history(ctx)
	if historyErr != nil {
		return c, nil, historyErr
	}
	c, violations = checkHistory(records, events)
	if err != nil {
		return c, violations, err
	}
	return c, violations, x.countChanges(ctx, stdout, &c)
}

func (x scenario) setCap(ctx context.Context) (err error) {
	_, err = x.Operators.Run(ctx, "demo-cap", "set member phones cap 20")
	return err
}

func (x scenario) moveInstance(ctx context.Context) (err error) {
	if _, err = x.Operators.Run(ctx, "demo-move", "move "+movedInstance+" to spare"); err != nil {
		return err
	}
	return x.waitForCell(ctx, "show instances", movedInstance, "pool", "spare")
}

// drainEndpoint declares a wave for the cover pool and ends it after the first
// instance is maintained; the budget of 1 keeps the other one in service.
func (x scenario) drainEndpoint(ctx context.Context) (err error) {
	if _, err = x.Operators.Run(ctx, "demo-wave", "declare wave "+wave+" for cover"); err != nil {
		return err
	}
	if err = x.waitFor(ctx, "show waves", wave, "done", func(cell string) bool { return cell != "0" }); err != nil {
		return err
	}
	_, err = x.Operators.Run(ctx, "demo-wave-end", "end wave "+wave)
	return err
}

func (x scenario) killEntry(ctx context.Context) (err error) {
	x.Operators.Entries = slices.DeleteFunc(x.Operators.Entries, func(address string) bool {
		return address == x.Entries[killedEntry].Operator
	})
	return x.Entries[killedEntry].Process.Kill()
}

// waitForCell polls until the cell of a row has the wanted value.
func (x scenario) waitForCell(ctx context.Context, query, row, column, want string) (err error) {
	return x.waitFor(ctx, query, row, column, func(cell string) bool { return cell == want })
}

// waitFor polls until the cell of a row satisfies wanted.
func (x scenario) waitFor(ctx context.Context, query, row, column string, wanted func(cell string) bool) (err error) {
	last := ""
	for {
		reply, err := x.Operators.Run(ctx, "", query)
		if err == nil {
			cell, found := operator.Cell(reply, row, column)
			if found && wanted(cell) {
				return nil
			}
			last = cell
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s of %s is still %q at the deadline", column, row, last)
		case <-time.After(pollInterval):
		}
	}
}

// history returns the starts and ends of tasks at all endpoints.
func (x scenario) history(ctx context.Context) (events []endpoint.Event, err error) {
	for _, p := range x.EndpointSpecs {
		part, err := endpoint.History(ctx, p.Name, x.Endpoints[p.Name].Addresses[0])
		if err != nil {
			return nil, err
		}
		events = append(events, part...)
	}
	return events, nil
}

// countChanges prints the final configuration and counts the move and the drains
// that took effect.
func (x scenario) countChanges(ctx context.Context, stdout io.Writer, c *Counts) (err error) {
	reply, err := x.Operators.Run(ctx, "", "show pools; show instances; show waves; show members")
	if err != nil {
		return err
	}
	for _, t := range reply.Tables {
		fmt.Fprintln(stdout, t.Title, t.Columns)
		for _, r := range t.Rows {
			fmt.Fprintln(stdout, " ", r.Cells)
		}
	}
	if pool, _ := operator.Cell(reply, movedInstance, "pool"); pool == "spare" {
		c.MovesDone++
	}
	for _, p := range x.EndpointSpecs {
		if maintained, _ := operator.Cell(reply, p.Name, "maintained"); maintained == wave {
			c.DrainsDone++
		}
	}
	return nil
}
