package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Name identifies a key of the file, or a section if Key is empty.
type Name struct {
	Section string
	Key     string
}

// String returns the name in the form "[section] key" that messages use.
func (n Name) String() string {
	if n.Key == "" {
		return "[" + n.Section + "]"
	}
	return "[" + n.Section + "] " + n.Key
}

// key describes one key of the file.
type key struct {
	name Name
	// read parses the text and sets the value.
	read func(s *Settings, text string) (err error)
	// check returns an error if the value is not allowed.
	check func(s *Settings) (err error)
	// format returns the value for the state dump.
	format func(s *Settings) (text string)
}

// valueType parses and validates the values of a key.
type valueType[T any] struct {
	parse func(text string) (value T, err error)
	check func(value T) (err error)
}

func newKey[T any](section, name string, t valueType[T], field func(*Settings) *T) key {
	return key{
		name: Name{section, name},
		read: func(s *Settings, text string) (err error) {
			*field(s), err = t.parse(text)
			return err
		},
		check:  func(s *Settings) (err error) { return t.check(*field(s)) },
		format: func(s *Settings) (text string) { return fmt.Sprint(*field(s)) },
	}
}

// keys returns all known keys.
func keys() []key {
	return slices.Concat(entryKeys(), connectionKeys(), requestKeys(), limitKeys(), clientKeys())
}

func entryKeys() []key {
	return []key{
		newKey("entry", "name", nameType, func(s *Settings) *string { return &s.Entry.Name }),
		newKey("entry", "dataCentre", nameType, func(s *Settings) *string { return &s.Entry.DataCentre }),
		newKey("listen", "caller", addressType, func(s *Settings) *netip.AddrPort { return &s.Listen.Caller }),
		newKey("listen", "operator", addressType, func(s *Settings) *netip.AddrPort { return &s.Listen.Operator }),
		newKey("listen", "peer", addressType, func(s *Settings) *netip.AddrPort { return &s.Listen.Peer }),
	}
}

func connectionKeys() []key {
	return []key{
		newKey("peers", "join", addressListType, func(s *Settings) *[]netip.AddrPort { return &s.Peers.Join }),
		newKey("peers", "secret", secretType, func(s *Settings) *Secret { return &s.Peers.Secret }),
		newKey("peers", "secretFile", pathType, func(s *Settings) *string { return &s.Peers.SecretFile }),
		newKey("peers", "heartbeat", durationType(50*time.Millisecond, time.Minute),
			func(s *Settings) *time.Duration { return &s.Peers.Heartbeat }),
		newKey("peers", "lifetime", durationType(150*time.Millisecond, 10*time.Minute),
			func(s *Settings) *time.Duration { return &s.Peers.Lifetime }),
		newKey("platform", "address", addressType, func(s *Settings) *netip.AddrPort { return &s.Platform.Address }),
		newKey("platform", "timeout", durationType(10*time.Millisecond, time.Minute),
			func(s *Settings) *time.Duration { return &s.Platform.Timeout }),
		newKey("operators", "secret", secretType, func(s *Settings) *Secret { return &s.Operators.Secret }),
		newKey("operators", "secretFile", pathType, func(s *Settings) *string { return &s.Operators.SecretFile }),
	}
}

func requestKeys() []key {
	return []key{
		newKey("requests", "maxOpen", integerType(1, 1_000_000), func(s *Settings) *int { return &s.Requests.MaxOpen }),
		newKey("requests", "keyLifetime", durationType(time.Minute, 24*time.Hour),
			func(s *Settings) *time.Duration { return &s.Requests.KeyLifetime }),
		newKey("requests", "retryFraction", numberType(0, 1), func(s *Settings) *float64 { return &s.Requests.RetryFraction }),
		newKey("requests", "copies", integerType(1, 2), func(s *Settings) *int { return &s.Requests.Copies }),
		newKey("dispatch", "queueLength", integerType(1, 1_000_000), func(s *Settings) *int { return &s.Dispatch.QueueLength }),
		newKey("dispatch", "longestGrant", durationType(11*time.Second, 24*time.Hour),
			func(s *Settings) *time.Duration { return &s.Dispatch.LongestGrant }),
		newKey("upkeep", "failedAfter", durationType(time.Second, time.Hour),
			func(s *Settings) *time.Duration { return &s.Maintenance.FailedAfter }),
		newKey("upkeep", "rebootDeadline", durationType(time.Second, 24*time.Hour),
			func(s *Settings) *time.Duration { return &s.Maintenance.RebootDeadline }),
	}
}

func limitKeys() []key {
	return []key{
		newKey("limits", "clockError", durationType(0, 10*time.Second),
			func(s *Settings) *time.Duration { return &s.Limits.ClockError }),
		newKey("limits", "maxBodyBytes", integerType[int64](4<<10, 16<<20),
			func(s *Settings) *int64 { return &s.Limits.MaxBodyBytes }),
		newKey("limits", "callerRate", numberType(0, 1_000_000), func(s *Settings) *float64 { return &s.Limits.CallerRate }),
		newKey("log", "level", enumType(LevelDebug, LevelInfo, LevelWarn, LevelError),
			func(s *Settings) *Level { return &s.Log.Level }),
		newKey("log", "format", enumType(FormatText, FormatJSON), func(s *Settings) *Format { return &s.Log.Format }),
	}
}

// clientKeys returns the limits of clients that do not keep to the protocol.
func clientKeys() []key {
	timeout := durationType(100*time.Millisecond, time.Hour)
	return []key{
		newKey("limits", "maxConnections", integerType(0, 1_000_000), func(s *Settings) *int { return &s.Limits.MaxConnections }),
		newKey("limits", "operatorConnections", integerType(1, 1_000_000), func(s *Settings) *int { return &s.Limits.OperatorConnections }),
		newKey("limits", "peerConnections", integerType(16, 1_000_000), func(s *Settings) *int { return &s.Limits.PeerConnections }),
		newKey("limits", "requestMemory", integerType[int64](8, 1<<20), func(s *Settings) *int64 { return &s.Limits.RequestMemory }),
		newKey("limits", "maxHeadBytes", integerType(1<<10, 1<<20), func(s *Settings) *int { return &s.Limits.MaxHeadBytes }),
		newKey("limits", "headTimeout", timeout, func(s *Settings) *time.Duration { return &s.Limits.HeadTimeout }),
		newKey("limits", "bodyTimeout", timeout, func(s *Settings) *time.Duration { return &s.Limits.BodyTimeout }),
		newKey("limits", "idleTimeout", timeout, func(s *Settings) *time.Duration { return &s.Limits.IdleTimeout }),
		newKey("limits", "answerTimeout", timeout, func(s *Settings) *time.Duration { return &s.Limits.AnswerTimeout }),
	}
}
