package job

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a field of a record that is written and not read, which a new owner would lose:
// each field is set, also one that is added later, and read as encoding/json reads it.
func TestDecodeReadsEveryField(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Record
		fill(t, reflect.ValueOf(&r).Elem())
		value, err := json.Marshal(&r)
		if err != nil {
			t.Fatal(err)
		}
		var want, got Record
		if err = json.Unmarshal(value, &want); err != nil {
			t.Fatal(err)
		}
		if err = got.decode(value, &storedRanges{}); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s\nread as %+v, error %v\nwant %+v", value, got, err, want)
		}
	})
}

// fill sets a value and all that it holds.
func fill(t *rapid.T, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), rapid.IntRange(1, 3).Draw(t, "length"), 3))
		for i := range v.Len() {
			fill(t, v.Index(i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 2 {
			key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			fill(t, key)
			fill(t, element)
			v.SetMapIndex(key, element)
		}
	case reflect.String:
		v.SetString(rapid.StringN(1, 8, -1).Draw(t, "text"))
	case reflect.Int, reflect.Int64:
		v.SetInt(rapid.Int64().Filter(func(n int64) bool { return n != 0 }).Draw(t, "number"))
	case reflect.Float64:
		v.SetFloat(rapid.Float64().Filter(func(f float64) bool { return f != 0 }).Draw(t, "fraction"))
	case reflect.Bool:
		v.SetBool(true)
	default:
		t.Fatalf("no values for %s", v.Type())
	}
}

// Guards against a record that is read in part: cut, of other types, or with fields of a later
// release.
func TestDecodeOfOtherForms(t *testing.T) {
	whole := `{"id":"j","new":{"a":[1,null]},"steps":[{"count":2,"later":true,"after":null}],"progress":null,"state":"queued"}`
	if r, err := Decode([]byte(whole), 7); err != nil || r.ID != "j" || len(r.Steps) != 1 || r.Steps[0].Count != 2 {
		t.Errorf("%+v, error %v", r, err)
	}
	for i := range whole {
		if r, err := Decode([]byte(whole[:i]), 7); err == nil {
			t.Errorf("%s: %+v", whole[:i], r)
		}
	}
	for _, value := range []string{
		`{"id":"j","steps":[{"count":"2"}],"state":"queued"}`, `{"id":"j","steps":[{"count":2.5}],"state":"queued"}`,
		`{"id":"j","steps":[{"count":1e30}],"state":"queued"}`, `{"id":"j","steps":{},"state":"queued"}`, `[]`, `null`,
		`{"id":"j","steps":[{"count":1}],"progress":[{"failures":{"x":[1]}}],"state":"queued"}`,
	} {
		if r, err := Decode([]byte(value), 7); err == nil {
			t.Errorf("%s: %+v", value, r)
		}
	}
}
