// Package queuer provides a fair queue of items of several tenants.
//
// Each tenant has a queue ordered by deadline. Tenants take turns in proportion
// to their weights by start-time fair queueing: at equal weights, at most one
// item of one tenant's burst is served before each item of another tenant.
//
// # Usage
//
//	q := queuer.New[*Task]()
//	q.Push("office-12", 1, deadline, task)
//	task, ok := q.Pop()
//
// A Queue is not safe for concurrent use.
package queuer

import (
	"container/heap"
	"time"
)

// Queue is a weighted fair queue of items of type T. It keeps an entry for every
// tenant that ever had an item in it; the configuration bounds their number.
type Queue[T any] struct {
	tenants map[string]*tenant[T]
	// active holds the tenants with waiting items.
	active turns[T]
	// virtualTime is the start of the turn in which Pop last removed an item.
	virtualTime float64
	// lastSerial is the number of the last item pushed.
	lastSerial uint64
	length     int
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{tenants: make(map[string]*tenant[T])}
}

// item is a waiting value.
type item[T any] struct {
	deadline time.Time
	// serial keeps items with equal deadlines in the order of their arrival.
	serial uint64
	value  T
}

// tenant is the queue of one tenant, a heap, and its position in the order of
// turns.
type tenant[T any] struct {
	items []item[T]
	// nextStart is the virtual time of the tenant's next turn. It is kept while the
	// tenant's queue is empty, so that a tenant gains nothing by pushing one item at
	// a time.
	nextStart float64
	weight    float64
	// activeSerial is the number of the item with which the tenant last became
	// active; it breaks ties of nextStart.
	activeSerial uint64
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// Waiting returns the number of waiting items of one tenant.
func (q *Queue[T]) Waiting(name string) int {
	if t := q.tenants[name]; t != nil {
		return len(t.items)
	}
	return 0
}

// Push adds an item of a tenant and sets the tenant's weight, which is at least 1.
func (q *Queue[T]) Push(name string, weight uint32, deadline time.Time, v T) {
	q.lastSerial++
	q.length++
	t := q.tenants[name]
	if t == nil {
		t = &tenant[T]{}
		q.tenants[name] = t
	}
	t.weight = float64(max(weight, 1))
	heap.Push(t, item[T]{deadline, q.lastSerial, v})
	if len(t.items) == 1 {
		t.activeSerial = q.lastSerial
		t.nextStart = max(t.nextStart, q.virtualTime)
		heap.Push(&q.active, t)
	}
}

// Peek returns the next item without removing it, or false if the queue is empty.
func (q *Queue[T]) Peek() (v T, ok bool) {
	if len(q.active) == 0 {
		return v, false
	}
	return q.active[0].items[0].value, true
}

// Pop removes and returns the next item, or returns false if the queue is empty.
func (q *Queue[T]) Pop() (v T, ok bool) {
	if len(q.active) == 0 {
		return v, false
	}
	t := q.active[0]
	it, _ := heap.Pop(t).(item[T])
	q.length--
	q.virtualTime = t.nextStart
	t.nextStart += 1 / t.weight
	if len(t.items) == 0 {
		heap.Pop(&q.active)
	} else {
		heap.Fix(&q.active, 0)
	}
	return it.value, true
}

// Remove removes and returns all items for which match returns true.
func (q *Queue[T]) Remove(match func(T) bool) []T {
	var removed []T
	for _, t := range q.tenants {
		kept := t.items[:0]
		for _, it := range t.items {
			if match(it.value) {
				removed = append(removed, it.value)
			} else {
				kept = append(kept, it)
			}
		}
		clear(t.items[len(kept):])
		t.items = kept
		heap.Init(t)
	}
	q.length -= len(removed)
	q.rebuild()
	return removed
}

// rebuild recomputes the active tenants after items were removed.
func (q *Queue[T]) rebuild() {
	q.active = q.active[:0]
	for _, t := range q.tenants {
		if len(t.items) > 0 {
			q.active = append(q.active, t)
		}
	}
	heap.Init(&q.active)
}

// Len, with Less, Swap, Push and Pop, implements heap.Interface; it orders a
// tenant's items by deadline.
func (t *tenant[T]) Len() int { return len(t.items) }

func (t *tenant[T]) Less(i, j int) bool {
	a, b := t.items[i], t.items[j]
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.serial < b.serial
}

func (t *tenant[T]) Swap(i, j int) { t.items[i], t.items[j] = t.items[j], t.items[i] }

// Push appends an item; only package heap calls it.
func (t *tenant[T]) Push(x any) {
	it, _ := x.(item[T])
	t.items = append(t.items, it)
}

// Pop removes the last item; only package heap calls it.
func (t *tenant[T]) Pop() any {
	n := len(t.items) - 1
	it := t.items[n]
	t.items[n] = item[T]{}
	t.items = t.items[:n]
	return it
}

// turns is a heap of tenants ordered by the virtual time of their next turn.
type turns[T any] []*tenant[T]

func (a turns[T]) Len() int { return len(a) }

func (a turns[T]) Less(i, j int) bool {
	if a[i].nextStart != a[j].nextStart {
		return a[i].nextStart < a[j].nextStart
	}
	return a[i].activeSerial < a[j].activeSerial
}

func (a turns[T]) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push appends a tenant; only package heap calls it.
func (a *turns[T]) Push(x any) {
	t, _ := x.(*tenant[T])
	*a = append(*a, t)
}

// Pop removes the last tenant; only package heap calls it.
func (a *turns[T]) Pop() any {
	old := *a
	t := old[len(old)-1]
	*a = old[:len(old)-1]
	return t
}
