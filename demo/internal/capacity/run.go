package capacity

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/demo/internal/fleet"
)

const (
	// warmUp is how long a fleet runs before the measurement, which leaves out the
	// work at start-up and the first status calls.
	warmUp = 6 * time.Second
	// measurementTime is how long each fleet is measured.
	measurementTime = 10 * time.Second
	// stopTimeout bounds the graceful stop of a fleet's processes.
	stopTimeout = 10 * time.Second
	// changeBatch is the number of statements in one configuration change.
	changeBatch = 400
)

// Size is one size of a fleet.
type Size struct {
	DataCentres int
	// Entries is the number of entries in each data centre.
	Entries int
	// Local is the number of instances in each data centre that has entries.
	Local int
	// Configured is the number of further instances in a data centre without
	// entries; they only make the configuration larger.
	Configured int
	// Changes is the number of configuration changes a second.
	Changes float64
}

// Cost is the mean use of resources by one entry.
type Cost struct {
	// CPU is the fraction of one core.
	CPU float64
	// Memory is the resident set in bytes.
	Memory float64
	// Peer, Platform and Endpoint are bytes a second, sent and received.
	Peer     float64
	Platform float64
	Endpoint float64
	// PlatformCalls is the number of calls to the key-value service a second, made
	// by all entries together.
	PlatformCalls float64
}

// measure runs a fleet of the given size and returns the mean cost of an entry.
func measure(ctx context.Context, bin string, s Size) (c Cost, err error) {
	logs, err := os.MkdirTemp("", "azurepoint-capacity-")
	if err != nil {
		return c, errors.Wrap(err, "capacity: create the log folder")
	}
	defer func() { _ = os.RemoveAll(logs) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := newFleet(s)
	f.Group.Bin, f.Group.Logs = bin, logs
	defer f.Group.StopAll(stopTimeout)
	if err = f.Start(ctx); err != nil {
		return c, err
	}
	endpoints, err := startEndpoints(ctx, s.DataCentres*s.Local)
	if err != nil {
		return c, err
	}
	if err = configure(ctx, f, s, endpoints); err != nil {
		return c, err
	}
	changed := generateChanges(ctx, f, s.Changes)
	if err = sleep(ctx, warmUp); err != nil {
		return c, err
	}
	before, err := takeSample(ctx, f)
	if err != nil {
		return c, err
	}
	if err = sleep(ctx, measurementTime); err != nil {
		return c, err
	}
	after, err := takeSample(ctx, f)
	if err != nil {
		return c, err
	}
	cancel()
	return after.costSince(before, len(f.Entries)), <-changed
}

func newFleet(s Size) (f *fleet.Fleet) {
	f = &fleet.Fleet{Settings: "[log]\nlevel = error\n"}
	for d := range s.DataCentres {
		for e := range s.Entries {
			f.Entries = append(f.Entries, &fleet.Entry{EntrySpec: fleet.EntrySpec{
				Name: fmt.Sprintf("dc%d-%d", d, e), DataCentre: fmt.Sprintf("dc%d", d),
			}})
		}
	}
	return f
}

// configure creates pools of ten instances each, one member, and the instances.
func configure(ctx context.Context, f *fleet.Fleet, s Size, endpoints []string) (err error) {
	var lines []string
	total := s.DataCentres*s.Local + s.Configured
	for p := range total/10 + 1 {
		lines = append(lines, fmt.Sprintf("create pool p%d budget 1", p))
	}
	lines = append(lines, "create member m cap 10")
	for i := range total {
		address, dataCentre := fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255), "far"
		if i < len(endpoints) {
			address, dataCentre = endpoints[i], fmt.Sprintf("dc%d", i%s.DataCentres)
		}
		lines = append(lines, fmt.Sprintf("add instance i%d address %s dataCentre %s rack r%d slots 8 pool p%d",
			i, address, dataCentre, i/4, i/10))
	}
	for n := 0; n < len(lines); n += changeBatch {
		id := fmt.Sprintf("capacity-%d", n)
		text := strings.Join(lines[n:min(n+changeBatch, len(lines))], "\n")
		if _, err = f.Operators.Run(ctx, id, text); err != nil {
			return err
		}
	}
	return nil
}

// generateChanges changes the cap of the member at the given rate until the context
// ends or a change fails; the channel then receives nil or that error.
func generateChanges(ctx context.Context, f *fleet.Fleet, rate float64) (ended <-chan error) {
	done := make(chan error, 1)
	if rate == 0 {
		done <- nil
		return done
	}
	go func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-ticker.C:
			}
			text := fmt.Sprintf("set member m cap %d", 10+n%10)
			if _, err := f.Operators.Run(ctx, fmt.Sprintf("rate-%d", n), text); err != nil && ctx.Err() == nil {
				done <- err
				return
			}
		}
	}()
	return done
}

func sleep(ctx context.Context, d time.Duration) (err error) {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
