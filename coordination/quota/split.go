package quota

// Split divides a total by the weights with the Webster method; the parts add
// up to the total, and none of them gets smaller when the total grows. Equal
// claims go to the earlier weight. Without any weight all parts are zero.
func Split(total int, weights []int) (parts []int) {
	parts = make([]int, len(weights))
	sum := 0
	for _, w := range weights {
		sum += w
	}
	if sum <= 0 || total <= 0 {
		return parts
	}
	left := total
	// Half a slot each is held back, so that rounding cannot exceed the total.
	if safe := 2*total - len(weights); safe > 0 {
		for i, w := range weights {
			parts[i] = (w*safe + sum) / (2 * sum)
			left -= parts[i]
		}
	}
	for ; left > 0; left-- {
		parts[nextPart(parts, weights)]++
	}
	return parts
}

// nextPart returns which part the next slot goes to.
func nextPart(parts, weights []int) (next int) {
	for i, w := range weights {
		if w*(2*parts[next]+1) > weights[next]*(2*parts[i]+1) {
			next = i
		}
	}
	return next
}

// Fill divides a total evenly, but gives nobody more than its size before all
// have their sizes; what is left then is divided evenly again. The parts add up
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

// fillBelow divides less than the sum of the sizes.
func fillBelow(parts []int, total int, sizes []int) {
	low, high := 0, total // the level that all larger ones reach
	for low < high {
		level := (low + high + 1) / 2
		if used(level, sizes) <= total {
			low = level
		} else {
			high = level - 1
		}
	}
	left := total - used(low, sizes)
	for i, s := range sizes {
		parts[i] = min(low, s)
		if s > low && left > 0 {
			parts[i]++
			left--
		}
	}
}

func used(level int, sizes []int) (sum int) {
	for _, s := range sizes {
		sum += min(level, s)
	}
	return sum
}
