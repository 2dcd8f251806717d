package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"
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

// key is one setting: how its text is read and which values it may have.
type key struct {
	name  Name
	read  func(s *Settings, text string) (err error)
	check func(s *Settings) (err error)
	// show returns the value as a dump has it.
	show func(s *Settings) (text string)
}

// shown prints the value of a field.
func shown[T any](field func(*Settings) *T) func(s *Settings) (text string) {
	return func(s *Settings) (text string) { return fmt.Sprint(*field(s)) }
}

// minSecretLength is the shortest secret, in characters; 16 random ones from an
// alphabet of 32 hold 80 bits.
const minSecretLength = 16

// nameRule is the rule for the names of entries and data centres; it is the one
// that the configuration has for instances, and keys carry these names.
var nameRule = regexp.MustCompile(`^[a-z0-9.-]{1,64}$`)

// keys returns every key that a file may have.
func keys() []key {
	return []key{
		label("entry", "name", func(s *Settings) *string { return &s.Entry.Name }),
		label("entry", "dataCentre", func(s *Settings) *string { return &s.Entry.DataCentre }),
		address("listen", "caller", func(s *Settings) *netip.AddrPort { return &s.Listen.Caller }),
		address("listen", "operator", func(s *Settings) *netip.AddrPort { return &s.Listen.Operator }),
		address("listen", "peer", func(s *Settings) *netip.AddrPort { return &s.Listen.Peer }),
		addresses("peers", "join", func(s *Settings) *[]netip.AddrPort { return &s.Peers.Join }),
		secret("peers", func(s *Settings) *Secret { return &s.Peers.Secret }),
		path("peers", func(s *Settings) *string { return &s.Peers.SecretFile }),
		number("peers", "heartbeat", duration, 50*time.Millisecond, time.Minute,
			func(s *Settings) *time.Duration { return &s.Peers.Heartbeat }),
		number("peers", "lifetime", duration, 150*time.Millisecond, 10*time.Minute,
			func(s *Settings) *time.Duration { return &s.Peers.Lifetime }),
		address("platform", "address", func(s *Settings) *netip.AddrPort { return &s.Platform.Address }),
		number("platform", "timeout", duration, 10*time.Millisecond, time.Minute,
			func(s *Settings) *time.Duration { return &s.Platform.Timeout }),
		secret("operators", func(s *Settings) *Secret { return &s.Operators.Secret }),
		path("operators", func(s *Settings) *string { return &s.Operators.SecretFile }),
		number("requests", "maxOpen", strconv.Atoi, 1, 1_000_000,
			func(s *Settings) *int { return &s.Requests.MaxOpen }),
		number("requests", "keyLifetime", duration, time.Minute, 24*time.Hour,
			func(s *Settings) *time.Duration { return &s.Requests.KeyLifetime }),
		number("requests", "retryFraction", fraction, 0, 1,
			func(s *Settings) *float64 { return &s.Requests.RetryFraction }),
		number("requests", "copies", strconv.Atoi, 1, 2,
			func(s *Settings) *int { return &s.Requests.Copies }),
		number("dispatch", "queueLength", strconv.Atoi, 1, 1_000_000,
			func(s *Settings) *int { return &s.Dispatch.QueueLength }),
		number("dispatch", "longestGrant", duration, 11*time.Second, 24*time.Hour,
			func(s *Settings) *time.Duration { return &s.Dispatch.LongestGrant }),
		number("upkeep", "failedAfter", duration, time.Second, time.Hour,
			func(s *Settings) *time.Duration { return &s.Upkeep.FailedAfter }),
		number("upkeep", "rebootDeadline", duration, time.Second, 24*time.Hour,
			func(s *Settings) *time.Duration { return &s.Upkeep.RebootDeadline }),
		number("limits", "clockError", duration, 0, 10*time.Second,
			func(s *Settings) *time.Duration { return &s.Limits.ClockError }),
		number("limits", "maxBodyBytes", bytes, 4<<10, 16<<20,
			func(s *Settings) *int64 { return &s.Limits.MaxBodyBytes }),
		number("limits", "callerRate", fraction, 0, 1_000_000,
			func(s *Settings) *float64 { return &s.Limits.CallerRate }),
		choice("log", "level", []Level{LevelDebug, LevelInfo, LevelWarn, LevelError},
			func(s *Settings) *Level { return &s.Log.Level }),
		choice("log", "format", []Format{FormatText, FormatJSON},
			func(s *Settings) *Format { return &s.Log.Format }),
	}
}

func label(section, name string, field func(*Settings) *string) key {
	return key{
		name: Name{section, name},
		read: func(s *Settings, text string) (err error) {
			*field(s) = text
			return nil
		},
		check: func(s *Settings) (err error) {
			if *field(s) == "" {
				return errors.New("is required")
			}
			if !nameRule.MatchString(*field(s)) {
				return errors.Errorf("%q is not a name: 1 to 64 characters of a-z, 0-9, '.' and '-'", *field(s))
			}
			return nil
		},
		show: shown(field),
	}
}

func address(section, name string, field func(*Settings) *netip.AddrPort) key {
	return key{
		name: Name{section, name},
		read: func(s *Settings, text string) (err error) {
			*field(s), err = parseAddress(text)
			return err
		},
		check: func(s *Settings) (err error) {
			if !field(s).IsValid() {
				return errors.New("is required, as IP:port")
			}
			if field(s).Port() == 0 {
				return errors.New("port must not be 0: others must know it")
			}
			return nil
		},
		show: shown(field),
	}
}

func addresses(section, name string, field func(*Settings) *[]netip.AddrPort) key {
	return key{
		name: Name{section, name},
		read: func(s *Settings, text string) (err error) {
			*field(s) = nil
			if strings.TrimSpace(text) == "" {
				return nil
			}
			for one := range strings.SplitSeq(text, ",") {
				parsed, err := parseAddress(strings.TrimSpace(one))
				if err != nil {
					return err
				}
				*field(s) = append(*field(s), parsed)
			}
			return nil
		},
		check: func(s *Settings) (err error) {
			for _, one := range *field(s) {
				if one.Port() == 0 || one.Addr().IsUnspecified() {
					return errors.Errorf("%s cannot be connected to", one)
				}
			}
			return nil
		},
		show: shown(field),
	}
}

func parseAddress(text string) (address netip.AddrPort, err error) {
	address, err = netip.ParseAddrPort(text)
	if err != nil {
		return address, errors.Errorf("%q is not an IP:port, such as 10.0.0.1:7000 or [fd00::1]:7000", text)
	}
	return address, nil
}

// secret never repeats the text in an error.
func secret(section string, field func(*Settings) *Secret) key {
	return key{
		name: Name{section, "secret"},
		read: func(s *Settings, text string) (err error) {
			*field(s) = Secret(text)
			return nil
		},
		check: func(s *Settings) (err error) {
			length := utf8.RuneCountInString(string(*field(s)))
			if length == 0 {
				return errors.New("is required, here or as secretFile")
			}
			if length < minSecretLength {
				return errors.Errorf("has %d characters, the least is %d", length, minSecretLength)
			}
			return nil
		},
		show: shown(field),
	}
}

func path(section string, field func(*Settings) *string) key {
	return key{
		name: Name{section, "secretFile"},
		read: func(s *Settings, text string) (err error) {
			*field(s) = text
			return nil
		},
		check: func(*Settings) (err error) { return nil },
		show:  shown(field),
	}
}

func number[T cmp.Ordered](
	section, name string, parse func(text string) (T, error), least, most T, field func(*Settings) *T,
) key {
	return key{
		name: Name{section, name},
		read: func(s *Settings, text string) (err error) {
			value, err := parse(text)
			if err != nil {
				return errors.Errorf("%q is not %s", text, kindOf(value))
			}
			*field(s) = value
			return nil
		},
		check: func(s *Settings) (err error) {
			value := *field(s)
			if value >= least && value <= most {
				return nil
			}
			return errors.Errorf("%v is not between %v and %v", value, least, most)
		},
		show: shown(field),
	}
}

// kindOf names what the value of a key is, for messages.
func kindOf(value any) string {
	switch value.(type) {
	case time.Duration:
		return "a time with its unit, such as 250ms, 10s or 5m"
	case float64:
		return "a number"
	default:
		return "a whole number without a unit"
	}
}

// duration refuses a bare 0 too, so that every time has its unit.
func duration(text string) (d time.Duration, err error) {
	if d, err = time.ParseDuration(text); err != nil {
		return 0, err
	}
	if !strings.ContainsAny(text, "nuµμmsh") {
		return 0, errors.New("unit missing")
	}
	return d, nil
}

func bytes(text string) (n int64, err error) {
	return strconv.ParseInt(text, 10, 64)
}

func fraction(text string) (f float64, err error) {
	return strconv.ParseFloat(text, 64)
}

func choice[T ~string](section, name string, values []T, field func(*Settings) *T) key {
	return key{
		name: Name{section, name},
		read: func(s *Settings, text string) (err error) {
			*field(s) = T(text)
			return nil
		},
		check: func(s *Settings) (err error) {
			for _, v := range values {
				if *field(s) == v {
					return nil
				}
			}
			return errors.Errorf("%q is not one of %s", string(*field(s)), strings.Trim(fmt.Sprint(values), "[]"))
		},
		show: shown(field),
	}
}
