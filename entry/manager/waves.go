package manager

import "context"

// waves is what is known of the maintenance waves.
type waves struct{}

// runWaves carries out maintenance waves until the context ends.
func (m *Manager) runWaves(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		<-ctx.Done()
		ended <- nil
	}()
	return ended
}
