package standin

import (
	"context"
	"testing"
	"time"
)

// Guards against a data race of the stand-in, which fails tests that run with the race detector: a call
// that is executed late wrote the results of the one that had returned.
func TestLateCallLeavesResultsAlone(t *testing.T) {
	s := &Store{LateBy: time.Millisecond}
	s.Put("k", nil)
	s.SetFault(func(string) Fault { return FaultDelayed })
	for name, call := range map[string]func(ctx context.Context) error{
		"get":   func(ctx context.Context) error { _, _, err := s.Get(ctx, "k"); return err },
		"range": func(ctx context.Context) error { _, _, err := s.Range(ctx, ""); return err },
		"watch": func(ctx context.Context) error { _, _, err := s.Watch(ctx, "", 0, time.Second); return err },
		"grant": func(ctx context.Context) error { _, err := s.Grant(ctx, time.Second); return err },
	} {
		for range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			if err := call(ctx); err == nil {
				t.Errorf("%s: a late call was answered", name)
			}
			cancel()
		}
	}
	time.Sleep(10 * s.LateBy)
}
