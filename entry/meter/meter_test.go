package meter

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against gauges of organisations that remain after others have taken their place.
func TestReplaceGauges(t *testing.T) {
	ReplaceGauges("test.", map[string]int64{"a": 1, "b": 2})
	ReplaceGauges("other.", map[string]int64{"a": 7})
	ReplaceGauges("test.", map[string]int64{"b": 3, "c": 4})
	Add("test.counter", 5)
	Add("test.counter", 2)
	w := httptest.NewRecorder()
	Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	text := strings.Join(strings.Fields(w.Body.String()), " ")
	for _, want := range []string{"gauge test.b value: 3", "gauge test.c value: 4", "gauge other.a value: 7", "counter test.counter count: 7"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in %s", want, text)
		}
	}
	if strings.Contains(text, "test.a") {
		t.Errorf("test.a remains in %s", text)
	}
}
