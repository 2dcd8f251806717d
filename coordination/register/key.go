package register

import (
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// MaxKeyBytes is the maximum length of a key's text, as in the callers' API.
const MaxKeyBytes = 256

const (
	keyVersion = "k1"
	keyParts   = 9
	keyBase    = 36
)

// Key identifies one request and names the two entries that decide whether it runs.
// It contains no secret.
type Key struct {
	DataCentre string
	// Primary is the entry that runs the request.
	Primary            string
	PrimaryIncarnation int64
	// Backup is the entry that stores the second copy of each claim. It is empty if
	// the data centre had only one live entry when the key was issued.
	Backup            string
	BackupIncarnation int64
	// ExpiresAt has a resolution of one millisecond, as the text of a key does.
	ExpiresAt time.Time
	// Sequence distinguishes the keys of one primary.
	Sequence int64
}

// String returns the canonical text of the key, which is safe in a URL path.
func (k Key) String() string {
	text := strings.Join([]string{
		keyVersion,
		escape(k.DataCentre),
		escape(k.Primary),
		strconv.FormatInt(k.PrimaryIncarnation, keyBase),
		escape(k.Backup),
		strconv.FormatInt(k.BackupIncarnation, keyBase),
		strconv.FormatInt(k.ExpiresAt.UnixMilli(), keyBase),
		strconv.FormatInt(k.Sequence, keyBase),
	}, ".")
	return text + "." + checksum(text)
}

// Parse parses the canonical text of a key. The error says which part is wrong.
func Parse(text string) (k Key, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "register: key")
		}
	}()
	if len(text) > MaxKeyBytes {
		return Key{}, errors.Errorf("%d bytes long, the limit is %d", len(text), MaxKeyBytes)
	}
	parts := strings.Split(text, ".")
	if len(parts) != keyParts {
		return Key{}, errors.Errorf("has %d parts instead of %d", len(parts), keyParts)
	}
	if parts[0] != keyVersion {
		return Key{}, errors.Errorf("has the unknown version %q", parts[0])
	}
	body, sum := text[:strings.LastIndex(text, ".")], parts[keyParts-1]
	if checksum(body) != sum {
		return Key{}, errors.New("its checksum does not match; it was altered or cut")
	}
	p := parser{parts: parts}
	k = Key{
		DataCentre:         p.name(1, "data centre"),
		Primary:            p.name(2, "home"),
		PrimaryIncarnation: p.number(3, "home incarnation"),
		Backup:             p.name(4, "backup"),
		BackupIncarnation:  p.number(5, "backup incarnation"),
		ExpiresAt:          time.UnixMilli(p.number(6, "expiry")),
		Sequence:           p.number(7, "sequence"),
	}
	switch {
	case p.err != nil:
		return Key{}, p.err
	case k.Primary == "":
		return Key{}, errors.New("names no home")
	case k.Primary == k.Backup:
		return Key{}, errors.New("names the same entry as home and backup")
	case k.String() != text:
		// A second text of the same key would let its request run twice.
		return Key{}, errors.New("is not in the form that was issued")
	}
	return k, nil
}

// Expired reports whether it is too late to begin the request of the key.
func (k Key) Expired(now time.Time) bool {
	return !now.Before(k.ExpiresAt)
}

// parser decodes the parts of a key and keeps the first error.
type parser struct {
	parts []string
	err   error
}

func (p *parser) name(i int, what string) (name string) {
	name, err := unescape(p.parts[i])
	if err != nil && p.err == nil {
		p.err = errors.Wrapf(err, "%s %q", what, p.parts[i])
	}
	return name
}

func (p *parser) number(i int, what string) (number int64) {
	number, err := strconv.ParseInt(p.parts[i], keyBase, 64)
	if err != nil && p.err == nil {
		p.err = errors.Errorf("%s %q is not a number", what, p.parts[i])
	}
	return number
}

func checksum(text string) string {
	return fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(text)))
}

// escape replaces every byte other than an ASCII letter, a digit or a hyphen with
// "_" and two hexadecimal digits.
func escape(name string) string {
	var b strings.Builder
	for i := range len(name) {
		if isUnescaped(name[i]) {
			b.WriteByte(name[i])
			continue
		}
		fmt.Fprintf(&b, "_%02x", name[i])
	}
	return b.String()
}

func unescape(text string) (name string, err error) {
	var b strings.Builder
	for i := 0; i < len(text); i++ {
		if text[i] != '_' {
			b.WriteByte(text[i])
			continue
		}
		if i+2 >= len(text) {
			return "", errors.New("ends within an escaped byte")
		}
		value, err := strconv.ParseUint(text[i+1:i+3], 16, 8)
		if err != nil {
			return "", errors.Errorf("has the malformed escape %q", text[i:i+3])
		}
		b.WriteByte(byte(value))
		i += 2
	}
	return b.String(), nil
}

func isUnescaped(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-'
}
