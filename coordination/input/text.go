package input

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// Limits of texts.
const (
	// maxHostBytes and maxHostLabelBytes are those of the domain name system.
	maxHostBytes      = 253
	maxHostLabelBytes = 63
	maxExcerptBytes   = 200
	// maxExcerptDepth bounds the errors whose texts are put together. A decoder wraps one for
	// each level of nesting, and the effort grows with the square of their number.
	maxExcerptDepth = 20
)

// Text returns an error if a text is longer than most bytes or has control characters.
func Text(text string, most int) error {
	if len(text) > most {
		return errors.Errorf("input: text of %d bytes, above %d", len(text), most)
	}
	if !utf8.ValidString(text) || strings.ContainsFunc(text, unicode.IsControl) {
		return errors.Errorf("input: text %q has control characters", text)
	}
	return nil
}

// Name returns an error unless a text is from 1 to most bytes without spaces and control
// characters.
func Name(text string, most int) (err error) {
	if err = Text(text, most); err != nil {
		return err
	}
	if text == "" || strings.ContainsFunc(text, unicode.IsSpace) {
		return errors.Errorf("input: name %q is empty or has spaces", text)
	}
	return nil
}

// Address returns an error unless an address has a host that another machine may have and a
// decimal port from 1 to 65535.
func Address(address string) error {
	if len(address) > maxHostBytes+len("[]:65535") {
		return errors.Errorf("input: address of %d bytes", len(address))
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrap(err, "input: address")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.Errorf("input: address %q: the port is not from 1 to 65535", address)
	}
	if !validHost(host) {
		return errors.Errorf("input: address %q: invalid host", address)
	}
	return nil
}

// validHost reports whether a host is the literal of an address, or a name. An unspecified
// address is dialled on the machine itself.
func validHost(host string) bool {
	if ip, err := netip.ParseAddr(host); err == nil {
		return !ip.Unmap().IsUnspecified() && !ip.IsMulticast() && !strings.ContainsFunc(ip.Zone(), notHostRune)
	}
	labels := strings.Split(strings.TrimSuffix(host, "."), ".")
	for _, l := range labels {
		if l == "" || len(l) > maxHostLabelBytes || strings.ContainsFunc(l, notHostRune) || strings.HasPrefix(l, "-") {
			return false
		}
	}
	// Resolvers take a name that ends in a number for an address in an old notation, so that
	// "0" is the machine itself.
	_, err := strconv.ParseUint(labels[len(labels)-1], 0, 64)
	return len(host) <= maxHostBytes && errors.Is(err, strconv.ErrSyntax)
}

// notHostRune reports whether a character cannot be part of a host's name.
func notHostRune(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
	return !letter && r != '-' && r != '_'
}

// Excerpt returns the beginning of an error's text, which may contain the whole input.
func Excerpt(err error) string {
	root, depth := err, 0
	for cause := errors.Unwrap(root); cause != nil; cause = errors.Unwrap(root) {
		root = cause
		depth++
	}
	if depth > maxExcerptDepth {
		err = root
	}
	text := err.Error()
	if len(text) <= maxExcerptBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxExcerptBytes], "") + "..."
}
