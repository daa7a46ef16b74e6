package queue

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkQueue measures one request's way through a queue of a given length
// shared by three services and 100 callers.
func BenchmarkQueue(b *testing.B) {
	for _, length := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("waiting=%d", length), func(b *testing.B) {
			q := New()
			lim := Limits{QueueLimit: 2 * length, CallerShare: 1, DeadlineOrder: true}
			id := uint64(0)
			push := func() {
				id++
				q.Push(0, Item{ID: id, Service: int32(id % 3), Caller: id * 7919 % 100, Priority: int(id % 3),
					Deadline: time.Hour + time.Duration(id*104729%1000)}, lim, 0)
			}
			for range length {
				push()
			}
			b.ReportAllocs()
			for b.Loop() {
				push()
				it, _ := q.Next(0, anyService)
				q.Take(0, it.ID)
			}
		})
	}
}
