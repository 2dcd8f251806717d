package share

import (
	"container/heap"
	"time"
)

// deadlineItem is an item of a deadlineHeap.
type deadlineItem interface {
	due() time.Time
	// position points to the index of the item in the heap; removal needs it.
	position() *int
}

// deadlineHeap is a min-heap of items by due time.
type deadlineHeap[T deadlineItem] struct {
	items heapItems[T]
}

func (d *deadlineHeap[T]) push(t T) {
	heap.Push(&d.items, t)
}

func (d *deadlineHeap[T]) remove(t T) {
	heap.Remove(&d.items, *t.position())
}

// first returns the item with the earliest due time.
func (d *deadlineHeap[T]) first() (t T, found bool) {
	if len(d.items) == 0 {
		return t, false
	}
	return d.items[0], true
}

// heapItems implements heap.Interface.
type heapItems[T deadlineItem] []T

// Len returns the number of items.
func (s heapItems[T]) Len() int { return len(s) }

// Less orders items by due time.
func (s heapItems[T]) Less(i, j int) bool { return s[i].due().Before(s[j].due()) }

// Swap exchanges two items.
func (s heapItems[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	*s[i].position() = i
	*s[j].position() = j
}

// Push appends an item; only container/heap calls it.
func (s *heapItems[T]) Push(x any) {
	t, isItem := x.(T)
	if !isItem {
		return
	}
	*t.position() = len(*s)
	*s = append(*s, t)
}

// Pop removes the last item; only container/heap calls it.
func (s *heapItems[T]) Pop() any {
	last := len(*s) - 1
	t := (*s)[last]
	var zero T
	(*s)[last] = zero
	*s = (*s)[:last]
	return t
}
