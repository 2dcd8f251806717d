package check

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/go-faster/errors"
)

// value is a JSON value with its place in a file.
type value struct {
	path string
	line int
	// scalar is a string, json.Number, bool or nil; fields and items are set for objects and
	// lists.
	scalar any
	fields map[string]*value
	names  []string
	items  []*value
	isList bool
}

// document reads a file and collects its faults.
type document struct {
	source  []byte
	decoder *json.Decoder
	faults  []Fault
}

// parse returns the value of the whole file.
func (d *document) parse() (v *value, err error) {
	d.decoder = json.NewDecoder(bytes.NewReader(d.source))
	d.decoder.UseNumber()
	v, err = d.parseValue("")
	if err == nil {
		if _, err = d.decoder.Token(); errors.Is(err, io.EOF) {
			return v, nil
		}
		err = errors.New("text after the end of the configuration")
	}
	return nil, errors.Wrapf(err, "line %d", d.line())
}

// line returns the line at which the decoder is.
func (d *document) line() int {
	return 1 + bytes.Count(d.source[:min(int(d.decoder.InputOffset()), len(d.source))], []byte("\n"))
}

func (d *document) parseValue(path string) (v *value, err error) {
	token, err := d.decoder.Token()
	if err != nil {
		return nil, err
	}
	v = &value{path: path, line: d.line()}
	switch token {
	case json.Delim('{'):
		v.fields = make(map[string]*value)
		err = d.parseFields(v)
	case json.Delim('['):
		v.isList = true
		for d.decoder.More() && err == nil {
			var item *value
			item, err = d.parseValue(path + "[" + strconv.Itoa(len(v.items)) + "]")
			v.items = append(v.items, item)
		}
	default:
		v.scalar = token
		return v, nil
	}
	if err == nil {
		_, err = d.decoder.Token()
	}
	return v, err
}

func (d *document) parseFields(v *value) (err error) {
	for d.decoder.More() {
		token, err := d.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		path := name
		if v.path != "" {
			path = v.path + "." + name
		}
		field, err := d.parseValue(path)
		if err != nil {
			return err
		}
		if _, repeated := v.fields[name]; repeated {
			d.reportf(field, Error, "the key occurs twice; the last one counts")
		} else {
			v.names = append(v.names, name)
		}
		v.fields[name] = field
	}
	return nil
}

func (d *document) reportf(v *value, s Severity, format string, arguments ...any) {
	d.faults = append(d.faults, Fault{Severity: s, Line: v.line, Key: v.path, Text: fmt.Sprintf(format, arguments...)})
}

// object reports a value that is not an object, and keys other than the known ones.
func (d *document) object(v *value, known ...string) (valid bool) {
	if v.fields == nil {
		d.reportf(v, Error, "is not an object")
		return false
	}
	for _, name := range v.names {
		if !slices.Contains(known, name) {
			d.reportf(v.fields[name], Error, "unknown key")
		}
	}
	return true
}

// list returns the items of a field.
func (d *document) list(v *value, name string) (items []*value) {
	field := v.fields[name]
	if field == nil {
		return nil
	}
	if !field.isList {
		d.reportf(field, Error, "is not a list")
	}
	return field.items
}

// text returns the text of a field.
func (d *document) text(v *value, name string) (text string) {
	field := v.fields[name]
	if field == nil {
		return ""
	}
	text, valid := field.scalar.(string)
	if !valid {
		d.reportf(field, Error, "is not a text")
	}
	return text
}

// flag returns the truth value of a field.
func (d *document) flag(v *value, name string) (set bool) {
	field := v.fields[name]
	if field == nil {
		return false
	}
	set, valid := field.scalar.(bool)
	if !valid {
		d.reportf(field, Error, "is neither true nor false")
	}
	return set
}

// number returns the number of a field, which must not be negative.
func (d *document) number(v *value, name string) (number float64) {
	field := v.fields[name]
	if field == nil {
		return 0
	}
	text, _ := field.scalar.(json.Number)
	number, err := text.Float64()
	switch {
	case err != nil:
		d.reportf(field, Error, "is not a number")
		return 0
	case number < 0:
		d.reportf(field, Error, "is negative")
		return 0
	}
	return number
}

// integer returns the whole number of a field, which must not be negative.
func (d *document) integer(v *value, name string) (number int) {
	n := d.number(v, name)
	if n != float64(int(n)) {
		d.reportf(v.fields[name], Error, "is not a whole number")
	}
	return int(n)
}
