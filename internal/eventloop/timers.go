package eventloop

import (
	"container/heap"
	"time"
)

// idleWait is how long the loop waits for an event while no timer is set.
const idleWait = time.Hour

// timer is a time on the loop's clock at which the scheduler is to be called with a key.
type timer struct {
	at  time.Duration
	key uint64
}

// fireTimers fires the timers that are due and returns the time until the next one, or idleWait if no timer is set.
func (l *Loop) fireTimers() time.Duration {
	for len(l.timers) > 0 {
		if wait := l.timers[0].at - l.clock.Now(); wait > 0 {
			return wait
		}
		due := heap.Pop(&l.timers).(timer)
		l.scheduler.TimerFired(l.clock.Now(), due.key)
	}
	return idleWait
}

// timerHeap is a [heap.Interface] with the earliest timer first.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(t any)        { *h = append(*h, t.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}
