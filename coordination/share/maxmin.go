package share

// Demand is what one party asks of a shared resource.
type Demand struct {
	// Weight is the party's weight; zero counts as one.
	Weight float64
	// Minimum is allocated to the party first, as far as it wants that much.
	Minimum float64
	Want    float64
}

// bisectionSteps makes the level exact enough for counts of slots below a
// million; each step halves its interval.
const bisectionSteps = 48

// Divide returns the weighted max-min shares of total: no share exceeds what
// its party wants, minima are allocated first, and a share can only grow at the
// cost of one that is smaller for its weight. Minima that exceed the total are
// scaled down.
func Divide(total float64, demands []Demand) (shares []float64) {
	shares = make([]float64, len(demands))
	var wanted, minima float64
	for _, d := range demands {
		wanted += d.Want
		minima += d.effectiveMinimum()
	}
	if wanted <= total {
		for i, d := range demands {
			shares[i] = d.Want
		}
		return shares
	}
	scale := 1.0
	if minima > total {
		scale = total / minima
	}
	level := findLevel(total, scale, demands)
	for i, d := range demands {
		shares[i] = d.shareAt(level, scale)
	}
	return shares
}

// findLevel returns the slots per unit of weight at which the shares use up the
// total.
func findLevel(total, scale float64, demands []Demand) (level float64) {
	low, high := 0.0, total
	for _, d := range demands {
		high = max(high, d.Want/d.weight())
	}
	for range bisectionSteps {
		level = (low + high) / 2
		var sum float64
		for _, d := range demands {
			sum += d.shareAt(level, scale)
		}
		if sum > total {
			high = level
		} else {
			low = level
		}
	}
	return low
}

func (d Demand) shareAt(level, scale float64) float64 {
	return min(d.Want, max(level*d.weight(), d.effectiveMinimum()*scale))
}

func (d Demand) effectiveMinimum() float64 {
	return min(d.Minimum, d.Want)
}

func (d Demand) weight() float64 {
	if d.Weight <= 0 {
		return 1
	}
	return d.Weight
}
