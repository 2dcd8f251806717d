// Package frontier measures how many instance-seconds the sizes of pools cost for a share of
// tasks in time, by the moving average of each queue and by learned run times.
package frontier
