package route

// Lowest collects the items of the lowest rank. The zero value is empty.
type Lowest[T any] struct {
	Items []T
	rank  int // rank is that of the items.
}

// Add adds an item, unless there are some of a lower rank, and drops those of a higher one.
func (l *Lowest[T]) Add(item T, rank int) {
	switch {
	case len(l.Items) == 0 || rank < l.rank:
		l.Items, l.rank = append(l.Items[:0], item), rank
	case rank == l.rank:
		l.Items = append(l.Items, item)
	}
}
