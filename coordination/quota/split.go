package quota

import (
	"math"
	"math/bits"
	"slices"
)

// Split divides a total in proportion to the weights by the Webster method. The
// parts add up to the total, and none of them gets smaller when the total
// grows. Ties go to the earlier weight. If all weights are zero, all parts are
// zero.
func Split(total int, weights []int) (parts []int) {
	parts = make([]int, len(weights))
	weights = slices.Clone(weights)
	sum := 0
	for i, w := range weights {
		weights[i] = max(0, min(w, math.MaxInt/len(weights)))
		sum += weights[i]
	}
	if sum <= 0 || total <= 0 {
		return parts
	}
	left := total
	// Half a slot per part is held back, so that rounding cannot exceed the total.
	if halfSlots := 2*uint64(total) - uint64(len(weights)); total > len(weights)/2 {
		for i, w := range weights {
			parts[i] = portion(uint64(w), halfSlots, uint64(sum))
			left -= parts[i]
		}
	}
	for ; left > 0; left-- {
		parts[nextWebster(parts, weights)]++
	}
	return parts
}

// portion returns half of w*halfSlots/sum, rounded; w is at most sum. An operator may set a total
// whose product with a weight has more than 64 bits.
func portion(w, halfSlots, sum uint64) int {
	high, low := bits.Mul64(w, halfSlots)
	low, carry := bits.Add64(low, sum, 0)
	quotient, _ := bits.Div64(high+carry, low, 2*sum)
	return int(quotient)
}

// productExceeds reports whether a*b is more than c*d.
func productExceeds(a, b, c, d uint64) bool {
	high, low := bits.Mul64(a, b)
	otherHigh, otherLow := bits.Mul64(c, d)
	return high > otherHigh || high == otherHigh && low > otherLow
}

// nextWebster returns the index of the part that gets the next slot.
func nextWebster(parts, weights []int) (next int) {
	for i, w := range weights {
		if productExceeds(uint64(w), 2*uint64(parts[next])+1, uint64(weights[next]), 2*uint64(parts[i])+1) {
			next = i
		}
	}
	return next
}

// Fill divides a total evenly, where no part exceeds its size until all parts
// have reached theirs; the remainder is then divided evenly. The parts add up
// to the total, and none of them gets smaller when the total grows.
func Fill(total int, sizes []int) (parts []int) {
	parts = make([]int, len(sizes))
	if len(sizes) == 0 || total <= 0 {
		return parts
	}
	sum := 0
	for _, s := range sizes {
		sum += s
	}
	if total < sum {
		fillBelow(parts, total, sizes)
		return parts
	}
	rest := total - sum
	for i, s := range sizes {
		parts[i] = s + rest/len(sizes)
		if i < rest%len(sizes) {
			parts[i]++
		}
	}
	return parts
}

// fillBelow divides a total that is less than the sum of the sizes.
func fillBelow(parts []int, total int, sizes []int) {
	low, high := 0, total // the level that all larger sizes reach
	for low < high {
		level := (low + high + 1) / 2
		if slotsAtLevel(level, sizes) <= total {
			low = level
		} else {
			high = level - 1
		}
	}
	left := total - slotsAtLevel(low, sizes)
	for i, s := range sizes {
		parts[i] = min(low, s)
		if s > low && left > 0 {
			parts[i]++
			left--
		}
	}
}

func slotsAtLevel(level int, sizes []int) (sum int) {
	for _, s := range sizes {
		sum += min(level, s)
	}
	return sum
}
