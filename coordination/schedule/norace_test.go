//go:build !race

package schedule

// slowdown is how much longer code takes than without the race detector.
const slowdown = 1
