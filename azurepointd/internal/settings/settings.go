package settings

import (
	"fmt"
	"io"
	"net/netip"
	"time"
)

// Settings are the values of the file, one field for each section.
type Settings struct {
	Entry     Entry
	Listen    Listen
	Peers     Peers
	Platform  Platform
	Operators Operators
	Requests  Requests
	Dispatch  Dispatch
	Upkeep    Upkeep
	Limits    Limits
	Log       Log
}

// Entry says which entry this process is; its incarnation is taken at the start
// and is no setting.
type Entry struct {
	Name       string
	DataCentre string
}

// Listen holds the addresses that the process serves; no two may overlap.
type Listen struct {
	Caller   netip.AddrPort
	Operator netip.AddrPort
	// Peer is also the address that the other entries are told.
	Peer netip.AddrPort
}

// Peers says how to find the other entries and when one counts as gone.
type Peers struct {
	// Join holds addresses of other entries, or of the balancer before them;
	// Load leaves out the own peer address.
	Join   []netip.AddrPort
	Secret Secret
	// SecretFile is where Secret was read from; empty when it is in the file.
	SecretFile string
	// Heartbeat is the time between two heartbeats.
	Heartbeat time.Duration
	// Lifetime is how long an entry counts as live after its last heartbeat.
	Lifetime time.Duration
}

// Platform says where the key-value service answers.
type Platform struct {
	Address netip.AddrPort
	// Timeout bounds one call, without the waiting time of a watch.
	Timeout time.Duration
}

// Operators holds the secret of the operators' API.
type Operators struct {
	Secret Secret
	// SecretFile is where Secret was read from; empty when it is in the file.
	SecretFile string
}

// Requests bounds what the entry keeps of requests.
type Requests struct {
	// MaxOpen is how many requests may be open at this entry at once.
	MaxOpen int
	// KeyLifetime is how long an issued key may be used.
	KeyLifetime time.Duration
	// RetryFraction is how many retries are allowed for each first attempt.
	RetryFraction float64
	// Copies is how many entries keep a claim: 1 or 2.
	Copies int
}

// Dispatch bounds the queues and grants of the pools that the entry owns.
type Dispatch struct {
	// QueueLength is how many requests may wait for one pool.
	QueueLength int
	// LongestGrant is the longest time that one grant may last.
	LongestGrant time.Duration
}

// Upkeep says when an instance counts as failed or overdue.
type Upkeep struct {
	// FailedAfter is how long an instance must be unseen to count as failed.
	FailedAfter time.Duration
	// RebootDeadline is how long after its reboot call an instance must be
	// seen serving again; its wave halts otherwise.
	RebootDeadline time.Duration
}

// Limits bounds what the process takes from outside.
type Limits struct {
	// ClockError is the largest difference between the clocks of two instances.
	ClockError time.Duration
	// MaxBodyBytes is the largest body of a caller's HTTP request.
	MaxBodyBytes int64
	// CallerRate is how many requests a second one remote address may send to
	// the callers' API; zero means no limit.
	CallerRate float64
}

// Level is the lowest level of the events that are logged.
type Level string

// Levels of log events, in rising order.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Format is how log events are written.
type Format string

// Formats of log events.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Log says which events are logged and how.
type Log struct {
	Level  Level
	Format Format
}

// Secret is a shared secret that prints as a placeholder.
type Secret string

const redacted = "(secret)"

// String returns a placeholder, so that logs and dumps do not show the secret.
func (s Secret) String() string {
	return redacted
}

// GoString returns the same placeholder for %#v.
func (s Secret) GoString() string {
	return redacted
}

// MarshalText returns the same placeholder for JSON and other encodings.
func (s Secret) MarshalText() (text []byte, err error) {
	return []byte(redacted), nil
}

// Dump writes every setting in force, one a line; secrets are placeholders.
func (s Settings) Dump(w io.Writer) {
	for _, k := range keys() {
		// A dump goes to memory or to a caller that is gone.
		_, _ = fmt.Fprintf(w, "%s = %s\n", k.name, k.show(&s))
	}
}

// Defaults returns the values of all keys that a file may leave out.
func Defaults() (s Settings) {
	return Settings{
		Peers: Peers{
			Heartbeat: 500 * time.Millisecond,
			// A dead dispatcher must be noticed within the 3.3 s in which
			// urgent work starts, with time left for the next grant.
			Lifetime: 2 * time.Second,
		},
		Platform: Platform{Timeout: 2 * time.Second},
		Requests: Requests{
			MaxOpen:       10_000,
			KeyLifetime:   30 * time.Minute,
			RetryFraction: 0.1,
			Copies:        2,
		},
		Dispatch: Dispatch{QueueLength: 1000, LongestGrant: 10 * time.Minute},
		Upkeep:   Upkeep{FailedAfter: 10 * time.Second, RebootDeadline: 10 * time.Minute},
		Limits: Limits{
			ClockError:   250 * time.Millisecond,
			MaxBodyBytes: 1 << 20,
			// Behind a load balancer one remote address can stand for all
			// callers, so there is no limit unless it is asked for.
			CallerRate: 0,
		},
		Log: Log{Level: LevelInfo, Format: FormatText},
	}
}
