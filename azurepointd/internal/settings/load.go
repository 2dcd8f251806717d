package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// maxSecretFileBytes prevents a wrong path from loading a large file.
const maxSecretFileBytes = 4 << 10

// loadOptions keeps repeated keys, so that they can be reported, and allows secrets
// that contain '#' and ';' or end with '\'.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
}

// Load applies the file to the defaults and checks the result. All problems are
// returned in one CheckError, unless a line cannot be parsed at all. A relative
// secretFile is resolved from the directory of the file.
func Load(path string) (s Settings, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "settings: %s", path)
		}
	}()
	file, err := ini.LoadSources(loadOptions, path)
	if err != nil {
		return Settings{}, err
	}
	s = Defaults()
	c := checker{}
	c.readFile(&s, file)
	c.readSecret(filepath.Dir(path), "peers", &s.Peers.Secret, s.Peers.SecretFile)
	c.readSecret(filepath.Dir(path), "operators", &s.Operators.Secret, s.Operators.SecretFile)
	c.checkValues(&s)
	c.checkCombinations(&s)
	if err = c.err(); err != nil {
		return Settings{}, err
	}
	isOwnAddress := func(a netip.AddrPort) bool { return a == s.Listen.Peer }
	s.Peers.Join = slices.DeleteFunc(s.Peers.Join, isOwnAddress)
	return s, nil
}

// readFile sets the value of every key in the file and reports unknown keys.
func (c *checker) readFile(s *Settings, file *ini.File) {
	known := make(map[Name]key)
	sections := make(map[string]bool)
	for _, k := range keys() {
		known[k.name] = k
		sections[k.name.Section] = true
	}
	for _, section := range file.Sections() {
		if !sections[section.Name()] && section.Name() != ini.DefaultSection {
			c.report(Name{Section: section.Name()}, "unknown section")
			continue
		}
		for _, k := range section.Keys() {
			c.readKey(s, known, Name{section.Name(), k.Name()}, k.ValueWithShadows())
		}
	}
}

func (c *checker) readKey(s *Settings, known map[Name]key, n Name, values []string) {
	k, found := known[n]
	switch {
	case n.Section == ini.DefaultSection:
		c.report(n, "key outside of the known sections")
	case !found:
		c.report(n, "unknown key")
	case len(values) > 1:
		c.report(n, "set more than once")
	default:
		if err := k.read(s, strings.Join(values, "")); err != nil {
			c.report(n, err.Error())
		}
	}
}

// readSecret loads the secret from its file if one is configured.
func (c *checker) readSecret(directory, section string, secret *Secret, path string) {
	if path == "" {
		return
	}
	name := Name{section, "secretFile"}
	if *secret != "" {
		c.report(name, "cannot be set together with ["+section+"] secret")
		return
	}
	if !filepath.IsAbs(path) {
		path = filepath.Join(directory, path)
	}
	text, err := readSecretFile(path)
	if err != nil {
		c.report(name, err.Error())
		// Prevents a second report that the secret is missing.
		c.faulty[Name{section, "secret"}] = true
		return
	}
	*secret = text
}

func readSecretFile(path string) (secret Secret, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if !info.Mode().IsRegular() || info.Size() > maxSecretFileBytes {
		return "", errors.Errorf("%s is not a regular file of at most %d bytes", path, maxSecretFileBytes)
	}
	text, err := os.ReadFile(path) // #nosec G304 -- the operator names this file in the settings
	if err != nil {
		return "", err
	}
	return Secret(strings.TrimSpace(string(text))), nil
}
