package httpbackend

import (
	"context"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// collectInterval is the least time between two garbage collections for reads that wait for memory.
const collectInterval = 100 * time.Millisecond

// responseMemory bounds the memory of large responses, from the time at which they are read until the garbage collector
// has freed them: a client that reads slowly holds its response long after the node has sent it.
type responseMemory struct {
	free *semaphore.Weighted // in bytes

	mu          sync.Mutex
	collectedAt time.Time
}

func newResponseMemory(bytes int64) *responseMemory {
	return &responseMemory{free: semaphore.NewWeighted(bytes)}
}

// acquire reserves memory. If there is not enough, it waits for its turn until ctx ends, and has the garbage collector
// free responses that are not used any more.
func (m *responseMemory) acquire(ctx context.Context, bytes int64) error {
	if m.free.TryAcquire(bytes) {
		return nil
	}
	acquired := make(chan error, 1)
	go func() { acquired <- m.free.Acquire(ctx, bytes) }()
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-acquired:
			return err
		case <-ticker.C:
			m.collect()
		}
	}
}

// collect runs the garbage collector, unless it has just run for another read.
func (m *responseMemory) collect() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.collectedAt) < collectInterval {
		return
	}
	runtime.GC()
	m.collectedAt = time.Now()
}

// release returns memory at once.
func (m *responseMemory) release(bytes int64) { m.free.Release(bytes) }

// releaseWithContent returns memory once the garbage collector has freed the content.
func (m *responseMemory) releaseWithContent(content []byte, bytes int64) {
	if len(content) == 0 {
		m.release(bytes)
		return
	}
	runtime.AddCleanup(&content[0], m.release, bytes)
}
