//go:build race

package schedule

// slowdown is about how much longer code takes with the race detector.
const slowdown = 10
