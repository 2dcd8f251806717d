package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against one address that uses the whole capacity of an entry, and against a
// limit that is shared between addresses.
func TestLimitRate(t *testing.T) {
	h := LimitRate(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), 2)
	status := func(remoteAddr string) int {
		r := httptest.NewRequest(http.MethodPost, "/v1/requests", nil)
		r.RemoteAddr = remoteAddr
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Code
	}
	for n, want := range []int{200, 200, 429} {
		if got := status("10.0.0.1:1000"); got != want {
			t.Errorf("call %d: status %d, want %d", n, got, want)
		}
	}
	if got := status("10.0.0.2:1000"); got != 200 {
		t.Errorf("other address: status %d", got)
	}
}
