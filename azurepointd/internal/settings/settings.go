package settings

import (
	"fmt"
	"io"
	"net/netip"
	"time"
)

// Settings holds the values of the file, with one field for each section.
type Settings struct {
	Entry       Entry
	Listen      Listen
	Peers       Peers
	Platform    Platform
	Operators   Operators
	Requests    Requests
	Dispatch    Dispatch
	Maintenance Maintenance
	Limits      Limits
	Log         Log
}

// Entry identifies the entry of this process. Its incarnation is not a setting, but
// determined when the process starts.
type Entry struct {
	Name       string
	DataCentre string
}

// Listen holds the addresses on which the process listens; they must not overlap.
type Listen struct {
	Caller   netip.AddrPort
	Operator netip.AddrPort
	// Peer is also advertised to the other entries.
	Peer netip.AddrPort
}

// Peers configures the discovery of other entries and their failure detection.
type Peers struct {
	// Join holds addresses of other entries, or of the load balancer in front of
	// them; Load removes this entry's own peer address.
	Join   []netip.AddrPort
	Secret Secret
	// SecretFile is the file that Secret was read from; empty if the settings
	// file contains the secret itself.
	SecretFile string
	// Heartbeat is the interval between two heartbeats.
	Heartbeat time.Duration
	// Lifetime is how long an entry counts as live after its last heartbeat.
	Lifetime time.Duration
}

// Platform configures the connection to the platform's services.
type Platform struct {
	Address netip.AddrPort
	// Timeout limits one call, not counting the wait of a watch.
	Timeout time.Duration
}

// Operators holds the secret of the operators' API.
type Operators struct {
	Secret Secret
	// SecretFile is the file that Secret was read from; empty if the settings
	// file contains the secret itself.
	SecretFile string
}

// Requests configures the requests that the entry handles as primary or backup.
type Requests struct {
	// MaxOpen is the maximum number of requests open at this entry at once.
	MaxOpen int
	// KeyLifetime is how long an issued key may be used.
	KeyLifetime time.Duration
	// RetryFraction is the number of retries allowed per first attempt.
	RetryFraction float64
	// Copies is the number of entries that store a claim: 1 or 2.
	Copies int
}

// Dispatch configures the queues and grants of the pools that the entry dispatches.
type Dispatch struct {
	// QueueLength is the maximum number of requests queued for one pool.
	QueueLength int
	// LongestGrant is the maximum duration of a grant.
	LongestGrant time.Duration
}

// Maintenance configures when an instance counts as failed or overdue.
type Maintenance struct {
	// FailedAfter is how long an instance must be unreachable to count as failed.
	FailedAfter time.Duration
	// RebootDeadline is the time after its reboot call within which an instance
	// must serve again; otherwise its wave halts.
	RebootDeadline time.Duration
}

// Limits holds the assumed clock difference and limits on callers.
type Limits struct {
	// ClockError is the maximum clock difference between two instances.
	ClockError time.Duration
	// MaxBodyBytes is the maximum body size of a caller's HTTP request.
	MaxBodyBytes int64
	// CallerRate is the maximum number of requests per second from one remote
	// address to the callers' API; zero means no limit.
	CallerRate float64
	// MaxConnections is how many connections of callers are served at a time; zero means half of the
	// descriptors of the process, at most 12,000.
	MaxConnections int
	// OperatorConnections and PeerConnections are the same for operators and other entries; they get at most a
	// sixteenth and an eighth of the descriptors.
	OperatorConnections, PeerConnections int
	// RequestMemory is the memory for callers' requests that are read or served, in megabytes.
	RequestMemory int64
	// MaxHeadBytes is the maximum size of the head of an HTTP request.
	MaxHeadBytes int
	// HeadTimeout is how long the head of a request may take, BodyTimeout how long its body, IdleTimeout how
	// long a connection may be without a request, and AnswerTimeout how long a part of an answer may stay
	// unread.
	HeadTimeout, BodyTimeout, IdleTimeout, AnswerTimeout time.Duration
}

// Level is the minimum level of the events that are logged.
type Level string

// Levels of log events, from the lowest to the highest.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Format is the output format of log events.
type Format string

// Formats of log events.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Log configures the log output.
type Log struct {
	Level  Level
	Format Format
}

// Secret is a shared secret that is formatted and encoded as a placeholder.
type Secret string

const secretPlaceholder = "(secret)"

// String returns a placeholder, so that logs and dumps do not show the secret.
func (s Secret) String() string {
	return secretPlaceholder
}

// GoString returns the same placeholder for %#v.
func (s Secret) GoString() string {
	return secretPlaceholder
}

// MarshalText returns the same placeholder for JSON and other encodings.
func (s Secret) MarshalText() (text []byte, err error) {
	return []byte(secretPlaceholder), nil
}

// Dump writes all settings in use, one per line, with placeholders for secrets.
func (s Settings) Dump(w io.Writer) {
	for _, k := range keys() {
		// A write error needs no handling: the writer is a buffer, or nobody
		// reads the dump any more.
		_, _ = fmt.Fprintf(w, "%s = %s\n", k.name, k.format(&s))
	}
}

// Defaults returns the default values of all optional keys.
func Defaults() (s Settings) {
	return Settings{
		Peers: Peers{
			Heartbeat: 500 * time.Millisecond,
			// A failed dispatcher must be detected well within 3.3 s, the
			// limit in which urgent requests start, so that the next
			// dispatcher has time left to issue a grant.
			Lifetime: 2 * time.Second,
		},
		Platform: Platform{Timeout: 2 * time.Second},
		Requests: Requests{
			MaxOpen:       10_000,
			KeyLifetime:   30 * time.Minute,
			RetryFraction: 0.1,
			Copies:        2,
		},
		Dispatch:    Dispatch{QueueLength: 1000, LongestGrant: 10 * time.Minute},
		Maintenance: Maintenance{FailedAfter: 10 * time.Second, RebootDeadline: 10 * time.Minute},
		Limits: Limits{
			ClockError:   250 * time.Millisecond,
			MaxBodyBytes: 1 << 20,
			// No limit by default, because all callers can share one remote
			// address behind a load balancer.
			CallerRate:          0,
			OperatorConnections: 64,
			PeerConnections:     1024,
			RequestMemory:       64,
			MaxHeadBytes:        32 << 10,
			HeadTimeout:         10 * time.Second,
			BodyTimeout:         30 * time.Second,
			IdleTimeout:         2 * time.Minute,
			AnswerTimeout:       10 * time.Second,
		},
		Log: Log{Level: LevelInfo, Format: FormatText},
	}
}
