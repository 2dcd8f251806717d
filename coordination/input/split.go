package input

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// Elements returns the elements of a JSON array. It does not look into them, so that one that
// cannot be read, or is nested deeper than decoders follow, costs only itself.
func Elements(value []byte) (elements [][]byte, err error) {
	return split(value, '[', ']')
}

// Fields returns the values of the fields of a JSON object by name, as Elements does.
func Fields(value []byte) (values map[string][]byte, err error) {
	fields, err := split(value, '{', '}')
	if err != nil {
		return nil, err
	}
	values = make(map[string][]byte, len(fields))
	for _, field := range fields {
		colon := nameEnd(field)
		name, err := DecodeText(trimSpaces(field[:colon]))
		if err != nil {
			return nil, errors.Wrap(err, "input: field name")
		}
		if colon == len(field) {
			return nil, errors.Errorf("input: field %.40q has no value", name)
		}
		values[name] = trimSpaces(field[colon+1:])
	}
	return values, nil
}

// DecodeText decodes a JSON string; null is decoded as an empty one. Most strings need no
// decoder.
func DecodeText(value []byte) (text string, err error) {
	if last := len(value) - 1; last > 0 && value[0] == '"' && value[last] == '"' {
		plain := value[1:last]
		if !bytes.ContainsFunc(plain, notPlain) {
			return string(plain), nil
		}
	}
	err = json.Unmarshal(value, &text)
	return text, err
}

// notPlain reports whether a character cannot be part of a JSON string, or is encoded there.
func notPlain(r rune) bool {
	return r < ' ' || r == '"' || r == '\\' || r == utf8.RuneError
}

// trimSpaces returns a text without the spaces that JSON allows around a value.
func trimSpaces(text []byte) []byte {
	return bytes.Trim(text, " \t\r\n")
}

// nameEnd returns the index of the colon after the name of a field, or the length without one.
func nameEnd(field []byte) (end int) {
	inText := false
	for i := 0; i < len(field); i++ {
		switch c := field[i]; {
		case inText && c == '\\':
			i++
		case c == '"':
			inText = !inText
		case c == ':' && !inText:
			return i
		}
	}
	return len(field)
}

// split returns the parts between the commas of an array or object.
func split(value []byte, opening, closing byte) (parts [][]byte, err error) {
	value = trimSpaces(value)
	if len(value) < 2 || value[0] != opening || value[len(value)-1] != closing {
		return nil, errors.Errorf("input: no value from %c to %c", opening, closing)
	}
	value = value[1 : len(value)-1]
	if len(trimSpaces(value)) == 0 {
		return [][]byte{}, nil
	}
	depth, begin, inText := 0, 0, false
	for i := 0; i < len(value); i++ {
		switch c := value[i]; {
		case inText && c == '\\':
			i++
		case c == '"':
			inText = !inText
		case inText:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 0:
			parts = append(parts, trimSpaces(value[begin:i]))
			begin = i + 1
		}
		if depth < 0 {
			break
		}
	}
	if depth != 0 || inText {
		return nil, errors.New("input: the brackets or quotes do not match")
	}
	return append(parts, trimSpaces(value[begin:])), nil
}
