package occupancy

import "time"

// Bounds of the limits that operators may set for clients: sizes in bytes, and times.
const (
	MinHeadBytes = 1 << 10
	MaxHeadBytes = 1 << 20
	MinBodyBytes = 1 << 10
	MaxBodyBytes = 16 << 20
	MinTimeout   = 100 * time.Millisecond
	MaxTimeout   = time.Hour
)
