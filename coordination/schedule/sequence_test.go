package schedule

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSequenceProperty guards against elements that are counted, found or closed otherwise than in a list
// of all elements.
func TestSequenceProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 150).Draw(t, "total")
		s, used, closed := newSequence[int](total), make([]bool, total), make([]bool, total)
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			index := rapid.IntRange(0, total-1).Draw(t, "index")
			switch rapid.IntRange(0, 20).Draw(t, "action") {
			case 0:
				s.closeAll()
				for i := range closed {
					closed[i] = true
				}
			case 1, 2, 3, 4, 5, 6, 7, 8:
				if !used[index] {
					s.put(index, index)
				}
				used[index] = true
			case 9, 10, 11, 12:
				if index = s.firstUntouched(); index < total {
					s.put(index, index)
					used[index] = true
				}
			default:
				s.close(index)
				used[index], closed[index] = false, true
			}
			compareSequence(t, &s, used, closed, rapid.IntRange(0, total).Draw(t, "end"))
		}
	})
}

func compareSequence(t *rapid.T, s *sequence[int], used, closed []bool, end int) {
	untouched, before, first, items := 0, 0, s.total, 0
	for i := range used {
		item, found := s.find(i)
		if found != used[i] || found && item != i || s.isClosed(i) != closed[i] {
			t.Fatalf("element %d: %d, in use %v, closed %v; want %v, %v", i, item, found, s.isClosed(i), used[i], closed[i])
		}
		if used[i] {
			if s.items[items] != i {
				t.Fatalf("elements in use %v, want %d at %d", s.items, i, items)
			}
			items++
		}
		if used[i] || closed[i] {
			continue
		}
		first = min(first, i)
		if untouched++; i < end {
			before++
		}
	}
	if len(s.items) != items || s.untouched != untouched || s.untouchedBefore(end) != before || s.firstUntouched() != first {
		t.Fatalf("%d in use, %d untouched, %d of them before %d, the first %d; want %d, %d, %d, %d",
			len(s.items), s.untouched, s.untouchedBefore(end), end, s.firstUntouched(), items, untouched, before, first)
	}
}
