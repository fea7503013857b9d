package node

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// tries are moments at which routers write their rows, in order.
type attemptQueue []attempt

// try is one router's.
type attempt struct {
	at     time.Duration
	router int
}

func (t attemptQueue) Len() int           { return len(t) }
func (t attemptQueue) Less(i, j int) bool { return t[i].at < t[j].at }
func (t attemptQueue) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *attemptQueue) Push(x any)        { *t = append(*t, x.(attempt)) }
func (t *attemptQueue) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// Seen: 986 routers that started together made 8,548 calls to the store in a day, most of them in the first seconds: the
// largest price of a quiet day. 295 were refused 73 times.
//
// How: rows of one table take 200 writes a second, and refuse what would wait longer than a second. All routers wrote
// theirs at once, and those refused tried again each half second, together.
//
// Cause: a fixed pause between tries. Refusals grow with the square of the fleet.
func TestAnnounceRetriesInALargeFleet(t *testing.T) {
	const perSecond, queue = 200, 200
	for _, routers := range []int{60, 986, 2000} {
		rng := rand.New(rand.NewPCG(uint64(routers), 1))
		var due attemptQueue
		rngs := make([]*rand.Rand, routers)
		for i := range routers {
			rngs[i] = rand.New(rand.NewPCG(uint64(i), announceSalt))
			due = append(due, attempt{at: time.Duration(rng.Int64N(int64(300 * time.Millisecond))), router: i})
		}
		heap.Init(&due)
		calls, last := 0, time.Duration(0)
		// free is when the rows have taken all writes that wait.
		writerFreeAt := time.Duration(0)
		for len(due) > 0 {
			next := heap.Pop(&due).(attempt)
			calls++
			if writerFreeAt-next.at > queue*time.Second/perSecond {
				next.at += announceRetryDelay(rngs[next.router])
				heap.Push(&due, next)
				continue
			}
			writerFreeAt = max(writerFreeAt, next.at) + time.Second/perSecond
			last = max(last, writerFreeAt)
		}
		perRouter := float64(calls) / float64(routers)
		t.Logf("%d routers: %.2f calls each, all written after %v", routers, perRouter, last)
		// A start is to cost four calls, one of which reads the others' rows.
		if perRouter > 3 {
			t.Errorf("%d routers write %.2f times each, want 3 at most", routers, perRouter)
		}
		// A third more than the rows take for as many.
		if limit := 2*time.Second + time.Duration(routers)*time.Second/perSecond*4/3; last > limit {
			t.Errorf("%d routers are announced after %v, want %v at most", routers, last, limit)
		}
	}
}
