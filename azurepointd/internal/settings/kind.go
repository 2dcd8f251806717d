package settings

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/command"
)

// minSecretLength is the shortest secret, in characters; 16 random ones from an
// alphabet of 32 hold 80 bits.
const minSecretLength = 16

var (
	label     = kind[string]{verbatim[string], checkLabel}
	path      = kind[string]{verbatim[string], func(string) (err error) { return nil }}
	secret    = kind[Secret]{verbatim[Secret], checkSecret}
	address   = kind[netip.AddrPort]{parseAddress, checkAddress}
	addresses = kind[[]netip.AddrPort]{parseAddresses, checkAddresses}
)

func verbatim[T ~string](text string) (value T, err error) {
	return T(text), nil
}

// checkLabel holds the names of entries and data centres to the rule of the
// command language, so that operators can name them in statements.
func checkLabel(text string) (err error) {
	if text == "" {
		return errors.New("is required")
	}
	if !command.ValidName(text) {
		return errors.Errorf("%q is not a name: 1 to 64 characters of a-z, 0-9, '.' and '-'", text)
	}
	return nil
}

// checkSecret never repeats the text in an error.
func checkSecret(s Secret) (err error) {
	length := utf8.RuneCountInString(string(s))
	if length == 0 {
		return errors.New("is required, here or as secretFile")
	}
	if length < minSecretLength {
		return errors.Errorf("has %d characters, the least is %d", length, minSecretLength)
	}
	return nil
}

func parseAddress(text string) (a netip.AddrPort, err error) {
	a, err = netip.ParseAddrPort(text)
	if err != nil {
		return a, errors.Errorf("%q is not an IP:port, such as 10.0.0.1:7000 or [fd00::1]:7000", text)
	}
	return a, nil
}

func checkAddress(a netip.AddrPort) (err error) {
	if !a.IsValid() {
		return errors.New("is required, as IP:port")
	}
	if a.Port() == 0 {
		return errors.New("port must not be 0: others must know it")
	}
	return nil
}

// parseAddresses takes a list with commas; an empty text is an empty list.
func parseAddresses(text string) (list []netip.AddrPort, err error) {
	if strings.TrimSpace(text) == "" {
		return nil, nil
	}
	for one := range strings.SplitSeq(text, ",") {
		a, err := parseAddress(strings.TrimSpace(one))
		if err != nil {
			return nil, err
		}
		list = append(list, a)
	}
	return list, nil
}

func checkAddresses(list []netip.AddrPort) (err error) {
	for _, a := range list {
		if a.Port() == 0 || a.Addr().IsUnspecified() {
			return errors.Errorf("%s cannot be connected to", a)
		}
	}
	return nil
}

// between allows the values from least to most; called says in messages what a
// text should have been.
func between[T cmp.Ordered](least, most T, called string, parse func(text string) (value T, err error)) kind[T] {
	return kind[T]{
		parse: func(text string) (value T, err error) {
			if value, err = parse(text); err != nil {
				return value, errors.Errorf("%q is not %s", text, called)
			}
			return value, nil
		},
		check: func(value T) (err error) {
			if value >= least && value <= most {
				return nil
			}
			return errors.Errorf("%v is not between %v and %v", value, least, most)
		},
	}
}

// duration refuses a bare 0 too, so that every time has its unit.
func duration(least, most time.Duration) kind[time.Duration] {
	const called = "a time with its unit, such as 250ms, 10s or 5m"
	return between(least, most, called, func(text string) (d time.Duration, err error) {
		if !strings.ContainsAny(text, "nuµμmsh") {
			return 0, errors.New("unit missing")
		}
		return time.ParseDuration(text)
	})
}

func integer[T int | int64](least, most T) kind[T] {
	return between(least, most, "a whole number without a unit", func(text string) (n T, err error) {
		value, err := strconv.ParseInt(text, 10, 64)
		return T(value), err
	})
}

func number(least, most float64) kind[float64] {
	return between(least, most, "a number", func(text string) (f float64, err error) {
		return strconv.ParseFloat(text, 64)
	})
}

func choice[T ~string](values ...T) kind[T] {
	return kind[T]{verbatim[T], func(value T) (err error) {
		if slices.Contains(values, value) {
			return nil
		}
		texts := make([]string, 0, len(values))
		for _, v := range values {
			texts = append(texts, string(v))
		}
		return errors.Errorf("%q is not one of %s", string(value), strings.Join(texts, ", "))
	}}
}
