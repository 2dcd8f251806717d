package job

import (
	"encoding/json"
	"maps"
	"reflect"
	"strings"
	"testing"
	"unicode/utf8"
)

// fieldNames returns the names of the fields of a stored type and of the types in it.
func fieldNames(t reflect.Type) (names []string) {
	switch t.Kind() {
	case reflect.Slice, reflect.Map:
		return fieldNames(t.Elem())
	case reflect.Struct:
		for i := range t.NumField() {
			name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			names = append(append(names, name), fieldNames(t.Field(i).Type)...)
		}
	}
	return names
}

// differsByDesign reports whether encoding/json reads a value in a way that no record needs: it
// takes names in other case, replaces invalid text, and merges elements of lists that are
// given twice.
func differsByDesign(value []byte) bool {
	if !utf8.Valid(value) || strings.Contains(string(value), `\u`) {
		return true
	}
	names := fieldNames(reflect.TypeFor[Record]())
	seen := make(map[string]int)
	d := json.NewDecoder(strings.NewReader(string(value)))
	for {
		token, err := d.Token()
		if err != nil {
			return false
		}
		text, _ := token.(string)
		for _, name := range names {
			if text != name && strings.EqualFold(text, name) {
				return true
			}
		}
		seen[text]++
		if seen["steps"] > 1 || seen["progress"] > 1 || seen["crashes"] > 1 || seen["failures"] > 1 {
			return true
		}
	}
}

// Guards against a stored record that is read as another one than encoding/json reads.
func FuzzDecode(f *testing.F) {
	for _, value := range []string{
		`{"id":"j","steps":[{"count":2,"after":[0,1]}],"progress":[{"done":[1],"failures":{"1":[3]},"crashes":{"0":[{"run":9,"sole":true}]}}],"state":"queued"}`,
		`{"id":"a\"\\\/\b\f\n\r\t","spec":"é\u00e9\ud83d\ude00","state":"running"}`, `{"id":"j","id":"k","steps":[{"after":[1],"after":[2]}]}`,
		`{"startAt":-9223372036854775808,"intervalMillis":9223372036854775807}`, `{"startAt":9223372036854775808}`, `{"startAt":9007199254740993}`, `{"startAt":1e3}`, `{"startAt":1.0}`,
		`{"startAt":-0}`, `{"startAt":01}`, `{"startAt":-}`, `{"startAt":"1"}`, `{"stretch":1e999}`, `{"stretch":20000000000000000.123}`, `{"stretch":"1"}`, `{"stretch":-1.5E-3}`,
		`{"stretch":1.}`, `{"stretch":.5}`, `{"id":"j"} {"id":"k"}`, `{"id":"j"}]`, `{"id":"j"}-`, `{"id":"j"}n`, `{"id":"j"}{"":`, ` {"id" : "j" } `, `{"id":"j",}`, `{"id":"j" "state":"queued"}`,
		`{"id":null,"steps":null,"surplus":null}`, `{"steps":[],"progress":[{"done":[]}]}`, `{"steps":[null]}`, `{"progress":[{"done":[null]}]}`, `{"progress":[{"failures":{"01":[1]}}]}`,
		`{"progress":[{"failures":{"+1":[1]}}]}`, `{"progress":[{"failures":{"1":null}}]}`, `{"ID":"j"}`, "{\"id\":\"\x01\"}", "{\"id\":\"\xff\"}", `{"new":` + strings.Repeat("[", 100) + strings.Repeat("]", 100) + `}`,
	} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		var got, want Record
		err := got.decode(value, &storedRanges{})
		wantErr := json.Unmarshal(value, &want)
		if differsByDesign(value) {
			return
		}
		if err != nil {
			if wantErr == nil && !strings.Contains(string(value), "null") {
				t.Errorf("%q is refused: %v", value, err)
			}
			return
		}
		// An empty list and none are the same, also for a task.
		for _, p := range append(got.Progress, want.Progress...) {
			maps.DeleteFunc(p.Failures, func(_ int, runs []int) bool { return len(runs) == 0 })
			maps.DeleteFunc(p.Dropped, func(_ int, d Dropped) bool { return d == Dropped{} })
			maps.DeleteFunc(p.Crashes, func(_ int, crashes []Crash) bool { return len(crashes) == 0 })
		}
		read, _ := json.Marshal(&got)
		expected, _ := json.Marshal(&want)
		if wantErr != nil || string(read) != string(expected) {
			t.Errorf("%q is read as %s, by encoding/json as %s, error %v", value, read, expected, wantErr)
		}
	})
}
