package taint

import (
	"fmt"
	"testing"
	"time"
)

// outageBook returns a book as after the outage of a failure domain under load.
func outageBook() Book {
	var b Book
	for i := range uint64(maxCrashes) {
		id := LossID{Target: i, Request: 1000 + i}
		at := start.Add(time.Duration(i) * time.Millisecond)
		b = b.WithBook(NewBook(nil, []Crash{{ID: id, Domain: 1 + i%3, At: at}}))
		b = b.WithLoss([]string{"shared", fmt.Sprint("part-", i%40)}, Loss{ID: id, Domain: 1 + i%3, At: at})
	}
	return b
}

func BenchmarkWithout(b *testing.B) {
	book := outageBook()
	for b.Loop() {
		book.Without(start.Add(time.Second))
	}
}

func BenchmarkBlocked(b *testing.B) {
	book := outageBook()
	for b.Loop() {
		book.Blocked([]string{"shared", "part-3"}, start.Add(time.Second))
	}
}

func BenchmarkFindings(b *testing.B) {
	book := outageBook()
	for b.Loop() {
		book.Findings(start.Add(time.Second))
	}
}
