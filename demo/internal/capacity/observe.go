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

// ticksPerSecond is the unit of processor time in /proc, fixed by the kernel's
// interface.
const ticksPerSecond = 100

// sample is what all entries together have spent so far.
type sample struct {
	at     time.Time
	core   float64
	memory float64
	bytes  map[string]float64
	calls  float64
}

// observe reads the processes' accounts and the entries' byte counters.
func observe(ctx context.Context, f *fleet.Fleet) (s sample, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "capacity: observe")
		}
	}()
	s = sample{at: time.Now(), bytes: make(map[string]float64)}
	for _, e := range f.Entries {
		core, memory, err := account(e.Process.ID())
		if err != nil {
			return s, err
		}
		s.core += core
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

// since returns the cost of one entry between two samples.
func (s sample) since(before sample, entries int) (c Cost) {
	seconds := s.at.Sub(before.at).Seconds()
	each := seconds * float64(entries)
	rate := func(name string) float64 { return (s.bytes[name] - before.bytes[name]) / each }
	return Cost{
		Core:     (s.core - before.core) / each,
		Memory:   s.memory / float64(entries),
		Peer:     rate("peer"),
		Platform: rate("platform"),
		Endpoint: rate("endpoint"),
		Calls:    (s.calls - before.calls) / seconds,
	}
}

// account returns the processor time in seconds and the resident set in bytes of
// a process.
func account(id int) (core, memory float64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return 0, 0, err
	}
	// The command's name, in parentheses, may hold spaces.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userTime, systemTime, residentPages = 11, 12, 21
	if len(fields) <= residentPages {
		return 0, 0, errors.Errorf("process %d has %d fields of accounts", id, len(fields))
	}
	user, errUser := strconv.ParseFloat(fields[userTime], 64)
	system, errSystem := strconv.ParseFloat(fields[systemTime], 64)
	pages, errPages := strconv.ParseFloat(fields[residentPages], 64)
	return (user + system) / ticksPerSecond, pages * float64(os.Getpagesize()), errors.Join(errUser, errSystem, errPages)
}

// platformCalls returns the calls that the stand-in of the platform has counted.
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
