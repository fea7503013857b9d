package node

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// attemptQueue is a heap of attempts to write routers' rows, ordered by time.
type attemptQueue []attempt

// attempt is the next attempt of one router.
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

// Guards against write storms when a large fleet starts. All routers write their rows at once,
// while the rows of one table accept 200 writes per second and reject a write that would wait
// longer than a second. With a fixed delay of half a second between attempts, the rejected routers
// retry together, and rejections grow with the square of the fleet: 295 routers are rejected 73
// times, and 986 routers make 8,548 store calls in a day, most of them in the first seconds.
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
		// writerFreeAt is when all queued writes are done.
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
		t.Logf("%d routers: %.2f calls each, all rows written after %v", routers, perRouter, last)
		// A start should cost four calls, one of which reads the other routers' rows.
		if perRouter > 3 {
			t.Errorf("%d routers: %.2f writes each, want at most 3", routers, perRouter)
		}
		// The limit is a third more time than the table needs for as many writes.
		if limit := 2*time.Second + time.Duration(routers)*time.Second/perSecond*4/3; last > limit {
			t.Errorf("%d routers: all rows written after %v, want at most %v", routers, last, limit)
		}
	}
}
