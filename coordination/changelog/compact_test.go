package changelog

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/azurepoint/azurepoint/coordination/platform"
)

// failFirstDelete is a store whose first Delete returns an error.
type failFirstDelete struct {
	platform.Store
	failed bool
}

func (s *failFirstDelete) Delete(ctx context.Context, key string, expected int64) (bool, error) {
	if !s.failed {
		s.failed = true
		return false, platform.ErrUnavailable
	}
	return s.Store.Delete(ctx, key, expected)
}

// Guards against records that stay until the next snapshot because a removal
// failed after the floor was raised.
func TestAFailedRemovalIsFinishedByTheNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		l := newLog(m)
		for n := range 4 {
			propose(t, l, capChange(1+n))
		}
		l.Store = &failFirstDelete{Store: l.Store}
		if _, err := l.Compact(t.Context()); err == nil {
			t.Fatal("the removal did not fail, so the test shows nothing")
		}
		if stored, err := l.Compact(t.Context()); err != nil || stored != 4 {
			t.Errorf("snapshot of version %d, error %v, want 4", stored, err)
		}
		if e, _, _ := m.list(recordPrefix); len(e) != 1 {
			t.Errorf("%d records are left, want only the one within the margin", len(e))
		}
	})
}
