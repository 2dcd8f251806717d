package job

// MaxFigure bounds each figure of a capacity. No machine has a million cores, and the sum over
// all jobs or endpoints stays far from an overflow.
const MaxFigure = 1_000_000_000

// Capacity is an amount of resources that an endpoint has, a task takes, or an
// organisation may use.
type Capacity struct {
	// CPU is in thousandths of a core.
	CPU      int
	MemoryMB int
	GPU      int
}

// Plus returns the sum of two capacities.
func (c Capacity) Plus(o Capacity) Capacity {
	return Capacity{CPU: c.CPU + o.CPU, MemoryMB: c.MemoryMB + o.MemoryMB, GPU: c.GPU + o.GPU}
}

// Minus returns the difference of two capacities, of which parts may be negative.
func (c Capacity) Minus(o Capacity) Capacity {
	return Capacity{CPU: c.CPU - o.CPU, MemoryMB: c.MemoryMB - o.MemoryMB, GPU: c.GPU - o.GPU}
}

// Times returns n times the capacity.
func (c Capacity) Times(n int) Capacity {
	return Capacity{CPU: c.CPU * n, MemoryMB: c.MemoryMB * n, GPU: c.GPU * n}
}

// CanFit reports whether o fits into c.
func (c Capacity) CanFit(o Capacity) bool {
	return o.CPU <= c.CPU && o.MemoryMB <= c.MemoryMB && o.GPU <= c.GPU
}

// Holds returns how many times o fits into c beside each other, up to a limit.
func (c Capacity) Holds(o Capacity, limit int) (count int) {
	if !c.CanFit(o) {
		return 0
	}
	count = limit
	for _, p := range [...][2]int{{c.CPU, o.CPU}, {c.MemoryMB, o.MemoryMB}, {c.GPU, o.GPU}} {
		if p[1] > 0 {
			count = min(count, p[0]/p[1])
		}
	}
	return count
}
