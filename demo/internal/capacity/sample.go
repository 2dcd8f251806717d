package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/demo/internal/fleet"
)

// ticksPerSecond is the unit of processor time in /proc, USER_HZ, which the
// kernel's interface fixes.
const ticksPerSecond = 100

// sample holds the resources that all entries together have used since their
// start; memory is the current resident set in bytes.
type sample struct {
	at         time.Time
	cpuSeconds float64
	memory     float64
	bytes      map[string]float64
	calls      float64
}

// takeSample reads the processor time and memory of the entries, their byte
// counters, and the call counters of the platform stand-in.
func takeSample(ctx context.Context, f *fleet.Fleet) (s sample, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "capacity: observe")
		}
	}()
	s = sample{at: time.Now(), bytes: make(map[string]float64)}
	for _, e := range f.Entries {
		cpuSeconds, memory, err := processUsage(e.Process.ID())
		if err != nil {
			return s, err
		}
		s.cpuSeconds += cpuSeconds
		s.memory += memory
		counters, err := f.Operators.Metrics(ctx, e.Operator)
		if err != nil {
			return s, err
		}
		for _, name := range []string{"peer", "platform", "endpoint"} {
			s.bytes[name] += counters[name+".bytesIn"] + counters[name+".bytesOut"]
		}
	}
	s.calls, err = platformCalls(ctx, f.Platform.Addresses[0])
	return s, err
}

// costSince returns the mean cost of one entry between two samples.
func (s sample) costSince(before sample, entries int) (c Cost) {
	seconds := s.at.Sub(before.at).Seconds()
	entrySeconds := seconds * float64(entries)
	rate := func(name string) float64 { return (s.bytes[name] - before.bytes[name]) / entrySeconds }
	return Cost{
		CPU:           (s.cpuSeconds - before.cpuSeconds) / entrySeconds,
		Memory:        s.memory / float64(entries),
		Peer:          rate("peer"),
		Platform:      rate("platform"),
		Endpoint:      rate("endpoint"),
		PlatformCalls: (s.calls - before.calls) / seconds,
	}
}

// processUsage returns the processor time in seconds and the resident set in bytes of
// a process.
func processUsage(id int) (cpuSeconds, memory float64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return 0, 0, err
	}
	// The command name, in parentheses, may contain spaces.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userTime, systemTime, residentPages = 11, 12, 21
	if len(fields) <= residentPages {
		return 0, 0, errors.Errorf("/proc/%d/stat has only %d fields after the command name", id, len(fields))
	}
	user, errUser := strconv.ParseFloat(fields[userTime], 64)
	system, errSystem := strconv.ParseFloat(fields[systemTime], 64)
	pages, errPages := strconv.ParseFloat(fields[residentPages], 64)
	return (user + system) / ticksPerSecond, pages * float64(os.Getpagesize()), errors.Join(errUser, errSystem, errPages)
}

// platformCalls returns the number of calls that the platform stand-in has counted.
func platformCalls(ctx context.Context, address string) (calls float64, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/counters", nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var counters struct {
		Reads   float64 `json:"reads"`
		Writes  float64 `json:"writes"`
		Watches float64 `json:"watches"`
	}
	err = json.NewDecoder(response.Body).Decode(&counters)
	return counters.Reads + counters.Writes + counters.Watches, err
}
