package changelog

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/azurepoint/azurepoint/coordination/platform"
)

// lostRemoval answers the first removal with an error.
type lostRemoval struct {
	platform.Store
	lost bool
}

func (s *lostRemoval) Delete(ctx context.Context, key string, expected int64) (bool, error) {
	if !s.lost {
		s.lost = true
		return false, platform.ErrUnavailable
	}
	return s.Store.Delete(ctx, key, expected)
}

// Guards against records that stay until the next snapshot, as the removal failed
// once after the floor was raised.
func TestAFailedRemovalIsFinishedByTheNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		l := newLog(m)
		for n := range 4 {
			propose(t, l, capChange(1+n))
		}
		l.Store = &lostRemoval{Store: l.Store}
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
