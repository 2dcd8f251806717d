package share

import (
	"container/heap"
	"time"
)

// timed is an item that something is due for at a time.
type timed interface {
	due() time.Time
	// position is where the item stands in its heap, for removal.
	position() *int
}

// deadlines is a heap of items, earliest first.
type deadlines[T timed] struct {
	items items[T]
}

func (d *deadlines[T]) push(t T) {
	heap.Push(&d.items, t)
}

func (d *deadlines[T]) remove(t T) {
	heap.Remove(&d.items, *t.position())
}

// first returns the item that is due first.
func (d *deadlines[T]) first() (t T, found bool) {
	if len(d.items) == 0 {
		return t, false
	}
	return d.items[0], true
}

// items implements heap.Interface.
type items[T timed] []T

// Len returns the number of items.
func (s items[T]) Len() int { return len(s) }

// Less orders items by the time they are due.
func (s items[T]) Less(i, j int) bool { return s[i].due().Before(s[j].due()) }

// Swap exchanges two items.
func (s items[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	*s[i].position() = i
	*s[j].position() = j
}

// Push appends an item; only container/heap calls it.
func (s *items[T]) Push(x any) {
	t, isItem := x.(T)
	if !isItem {
		return
	}
	*t.position() = len(*s)
	*s = append(*s, t)
}

// Pop removes the last item; only container/heap calls it.
func (s *items[T]) Pop() any {
	last := len(*s) - 1
	t := (*s)[last]
	var none T
	(*s)[last] = none
	*s = (*s)[:last]
	return t
}
