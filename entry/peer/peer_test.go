package peer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Guards against a submission that has certainly not reached the owner counting as one that
// may have, and the other way round.
func TestSubmissionIsNotSentWithoutConnection(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	address := strings.TrimPrefix(silent.URL, "http://")
	c := NewClient()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := c.Submit(ended, address, job.Job{}, time.Now()); !errors.Is(err, ErrNotSent) {
		t.Errorf("a context that had ended: %v", err)
	}
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := c.Submit(short, address, job.Job{}, time.Now()); err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("a call without an answer: %v", err)
	}
	c.http.CloseIdleConnections()
	silent.Close()
	if _, err := c.Submit(t.Context(), address, job.Job{}, time.Now()); !errors.Is(err, ErrNotSent) {
		t.Errorf("a refused connection: %v", err)
	}
}
