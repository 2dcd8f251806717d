package retry

import (
	"context"
	"time"
)

// Pause waits for the duration or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
