package schedule

import (
	"math/bits"
	"slices"
)

// sequence holds those elements of a sequence that are in use. The others take no memory but a bit: the
// untouched ones, which have not been used yet, and the closed ones, which are finished.
type sequence[T any] struct {
	total int
	// items are the elements in use, in the order of their indexes, and indexes are those.
	items   []T
	indexes []int
	// untouched counts the elements that have been neither used nor closed; all before next have.
	untouched, next int
	// closed has a bit for each element; nil stands for none, and allClosed for all.
	closed      []uint64
	closedCount int
	allClosed   bool
}

func newSequence[T any](total int) sequence[T] {
	return sequence[T]{total: total, untouched: total}
}

const wordBits = 64

func (s *sequence[T]) isClosed(index int) bool {
	return s.allClosed || s.closed != nil && s.closed[index/wordBits]&(1<<(index%wordBits)) != 0
}

// find returns the element in use with an index.
func (s *sequence[T]) find(index int) (item T, found bool) {
	if i, found := slices.BinarySearch(s.indexes, index); found {
		return s.items[i], true
	}
	return item, false
}

// put adds an element that is not in use.
func (s *sequence[T]) put(index int, item T) {
	i, _ := slices.BinarySearch(s.indexes, index)
	s.indexes, s.items = slices.Insert(s.indexes, i, index), slices.Insert(s.items, i, item)
	if !s.isClosed(index) {
		s.untouched--
	}
}

// close ends the use of an element, which is finished.
func (s *sequence[T]) close(index int) {
	i, used := slices.BinarySearch(s.indexes, index)
	if used {
		s.indexes, s.items = slices.Delete(s.indexes, i, i+1), slices.Delete(s.items, i, i+1)
	}
	if s.isClosed(index) {
		return
	}
	if !used {
		s.untouched--
	}
	if s.closed == nil {
		s.closed = make([]uint64, (s.total+wordBits-1)/wordBits)
	}
	s.closed[index/wordBits] |= 1 << (index % wordBits)
	if s.closedCount++; s.closedCount == s.total {
		s.closed, s.allClosed = nil, true
	}
}

// closeAll closes the elements that are not in use.
func (s *sequence[T]) closeAll() {
	s.untouched, s.next, s.closed, s.allClosed = 0, s.total, nil, true
}

// firstUntouched returns the lowest index of an untouched element, or total if there is none.
func (s *sequence[T]) firstUntouched() (index int) {
	if s.untouched == 0 {
		s.next = s.total
	}
	for ; s.next < s.total; s.next++ {
		if _, used := slices.BinarySearch(s.indexes, s.next); !used && !s.isClosed(s.next) {
			break
		}
	}
	return s.next
}

// untouchedBefore returns how many untouched elements have an index below end.
func (s *sequence[T]) untouchedBefore(end int) (count int) {
	first := s.firstUntouched()
	if first >= end {
		return 0
	}
	count = end - first - s.countClosed(first, end)
	from, _ := slices.BinarySearch(s.indexes, first)
	for _, index := range s.indexes[from:] {
		if index < end && !s.isClosed(index) {
			count--
		}
	}
	return count
}

// countClosed returns how many closed elements have an index of first or more and below end.
func (s *sequence[T]) countClosed(first, end int) (count int) {
	switch {
	case s.allClosed:
		return end - first
	case s.closed == nil || first >= end:
		return 0
	}
	for w := first / wordBits; w <= (end-1)/wordBits; w++ {
		word := s.closed[w]
		if w == first/wordBits {
			word &= ^uint64(0) << (first % wordBits)
		}
		if w == (end-1)/wordBits && end%wordBits != 0 {
			word &= 1<<(end%wordBits) - 1
		}
		count += bits.OnesCount64(word)
	}
	return count
}
