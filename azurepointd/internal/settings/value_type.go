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

// minSecretLength is the minimum length of a secret in characters; 16 random
// characters from an alphabet of 32 have 80 bits of entropy.
const minSecretLength = 16

var (
	nameType        = valueType[string]{verbatim[string], checkName}
	pathType        = valueType[string]{verbatim[string], func(string) (err error) { return nil }}
	secretType      = valueType[Secret]{verbatim[Secret], checkSecret}
	addressType     = valueType[netip.AddrPort]{parseAddress, checkAddress}
	addressListType = valueType[[]netip.AddrPort]{parseAddresses, checkAddresses}
)

func verbatim[T ~string](text string) (value T, err error) {
	return T(text), nil
}

// checkName requires that names of entries and data centres are valid names in the
// command language, so that operators can use them in statements.
func checkName(text string) (err error) {
	if text == "" {
		return errors.New("is required")
	}
	if !command.ValidName(text) {
		return errors.Errorf("%q is not a name: 1 to 64 characters of a-z, 0-9, '.' and '-'", text)
	}
	return nil
}

// checkSecret checks the length of a secret; its errors do not contain the secret.
func checkSecret(s Secret) (err error) {
	length := utf8.RuneCountInString(string(s))
	if length == 0 {
		return errors.New("is required, here or as secretFile")
	}
	if length < minSecretLength {
		return errors.Errorf("has %d characters, the minimum is %d", length, minSecretLength)
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
		return errors.New("port must not be 0, because clients need a fixed port")
	}
	return nil
}

// parseAddresses parses a comma-separated list; an empty text is an empty list.
func parseAddresses(text string) (list []netip.AddrPort, err error) {
	if strings.TrimSpace(text) == "" {
		return nil, nil
	}
	for item := range strings.SplitSeq(text, ",") {
		a, err := parseAddress(strings.TrimSpace(item))
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
			return errors.Errorf("%s must have a specific IP and a port other than 0", a)
		}
	}
	return nil
}

// rangeType allows the values from minimum to maximum. Error messages use expected
// to describe a valid text.
func rangeType[T cmp.Ordered](minimum, maximum T, expected string, parse func(text string) (value T, err error)) valueType[T] {
	return valueType[T]{
		parse: func(text string) (value T, err error) {
			if value, err = parse(text); err != nil {
				return value, errors.Errorf("%q is not %s", text, expected)
			}
			return value, nil
		},
		check: func(value T) (err error) {
			if value >= minimum && value <= maximum {
				return nil
			}
			return errors.Errorf("%v is not between %v and %v", value, minimum, maximum)
		},
	}
}

// durationType requires a unit even for 0, which time.ParseDuration accepts without.
func durationType(minimum, maximum time.Duration) valueType[time.Duration] {
	const expected = "a time with its unit, such as 250ms, 10s or 5m"
	return rangeType(minimum, maximum, expected, func(text string) (d time.Duration, err error) {
		if !strings.ContainsAny(text, "nuµμmsh") {
			return 0, errors.New("unit missing")
		}
		return time.ParseDuration(text)
	})
}

func integerType[T int | int64](minimum, maximum T) valueType[T] {
	return rangeType(minimum, maximum, "a whole number without a unit", func(text string) (n T, err error) {
		value, err := strconv.ParseInt(text, 10, 64)
		return T(value), err
	})
}

func numberType(minimum, maximum float64) valueType[float64] {
	return rangeType(minimum, maximum, "a number", func(text string) (f float64, err error) {
		return strconv.ParseFloat(text, 64)
	})
}

func enumType[T ~string](values ...T) valueType[T] {
	return valueType[T]{verbatim[T], func(value T) (err error) {
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
