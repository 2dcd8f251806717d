package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Name is the place of a value in the file.
type Name struct {
	Section string
	Key     string
}

// String returns the name as it is written in messages.
func (n Name) String() string {
	if n.Key == "" {
		return "[" + n.Section + "]"
	}
	return "[" + n.Section + "] " + n.Key
}

// key is one setting of the file.
type key struct {
	name Name
	// read sets the value from its text.
	read func(s *Settings, text string) (err error)
	// check returns why the value is not allowed.
	check func(s *Settings) (err error)
	// show returns the value as a dump has it.
	show func(s *Settings) (text string)
}

// kind is how the text of a value is parsed and which values are allowed.
type kind[T any] struct {
	parse func(text string) (value T, err error)
	check func(value T) (err error)
}

func newKey[T any](section, name string, k kind[T], field func(*Settings) *T) key {
	return key{
		name: Name{section, name},
		read: func(s *Settings, text string) (err error) {
			*field(s), err = k.parse(text)
			return err
		},
		check: func(s *Settings) (err error) { return k.check(*field(s)) },
		show:  func(s *Settings) (text string) { return fmt.Sprint(*field(s)) },
	}
}

// keys returns every key that a file may have.
func keys() []key {
	return slices.Concat(entryKeys(), remoteKeys(), workKeys(), limitKeys())
}

func entryKeys() []key {
	return []key{
		newKey("entry", "name", label, func(s *Settings) *string { return &s.Entry.Name }),
		newKey("entry", "dataCentre", label, func(s *Settings) *string { return &s.Entry.DataCentre }),
		newKey("listen", "caller", address, func(s *Settings) *netip.AddrPort { return &s.Listen.Caller }),
		newKey("listen", "operator", address, func(s *Settings) *netip.AddrPort { return &s.Listen.Operator }),
		newKey("listen", "peer", address, func(s *Settings) *netip.AddrPort { return &s.Listen.Peer }),
	}
}

func remoteKeys() []key {
	return []key{
		newKey("peers", "join", addresses, func(s *Settings) *[]netip.AddrPort { return &s.Peers.Join }),
		newKey("peers", "secret", secret, func(s *Settings) *Secret { return &s.Peers.Secret }),
		newKey("peers", "secretFile", path, func(s *Settings) *string { return &s.Peers.SecretFile }),
		newKey("peers", "heartbeat", duration(50*time.Millisecond, time.Minute),
			func(s *Settings) *time.Duration { return &s.Peers.Heartbeat }),
		newKey("peers", "lifetime", duration(150*time.Millisecond, 10*time.Minute),
			func(s *Settings) *time.Duration { return &s.Peers.Lifetime }),
		newKey("platform", "address", address, func(s *Settings) *netip.AddrPort { return &s.Platform.Address }),
		newKey("platform", "timeout", duration(10*time.Millisecond, time.Minute),
			func(s *Settings) *time.Duration { return &s.Platform.Timeout }),
		newKey("operators", "secret", secret, func(s *Settings) *Secret { return &s.Operators.Secret }),
		newKey("operators", "secretFile", path, func(s *Settings) *string { return &s.Operators.SecretFile }),
	}
}

func workKeys() []key {
	return []key{
		newKey("requests", "maxOpen", integer(1, 1_000_000), func(s *Settings) *int { return &s.Requests.MaxOpen }),
		newKey("requests", "keyLifetime", duration(time.Minute, 24*time.Hour),
			func(s *Settings) *time.Duration { return &s.Requests.KeyLifetime }),
		newKey("requests", "retryFraction", number(0, 1), func(s *Settings) *float64 { return &s.Requests.RetryFraction }),
		newKey("requests", "copies", integer(1, 2), func(s *Settings) *int { return &s.Requests.Copies }),
		newKey("dispatch", "queueLength", integer(1, 1_000_000), func(s *Settings) *int { return &s.Dispatch.QueueLength }),
		newKey("dispatch", "longestGrant", duration(11*time.Second, 24*time.Hour),
			func(s *Settings) *time.Duration { return &s.Dispatch.LongestGrant }),
		newKey("upkeep", "failedAfter", duration(time.Second, time.Hour),
			func(s *Settings) *time.Duration { return &s.Upkeep.FailedAfter }),
		newKey("upkeep", "rebootDeadline", duration(time.Second, 24*time.Hour),
			func(s *Settings) *time.Duration { return &s.Upkeep.RebootDeadline }),
	}
}

func limitKeys() []key {
	return []key{
		newKey("limits", "clockError", duration(0, 10*time.Second),
			func(s *Settings) *time.Duration { return &s.Limits.ClockError }),
		newKey("limits", "maxBodyBytes", integer[int64](4<<10, 16<<20),
			func(s *Settings) *int64 { return &s.Limits.MaxBodyBytes }),
		newKey("limits", "callerRate", number(0, 1_000_000), func(s *Settings) *float64 { return &s.Limits.CallerRate }),
		newKey("log", "level", choice(LevelDebug, LevelInfo, LevelWarn, LevelError),
			func(s *Settings) *Level { return &s.Log.Level }),
		newKey("log", "format", choice(FormatText, FormatJSON), func(s *Settings) *Format { return &s.Log.Format }),
	}
}
