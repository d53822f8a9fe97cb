package ratelimit

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

func projectKeys(n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = projectKey(i)
	}
	return keys
}

func projectKey(i int) string { return "project-" + strconv.Itoa(i) }

// BenchmarkTake compares the table with plain maps that forget nothing, for few and for many keys.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{100, 100_000} {
		keys := projectKeys(n)
		b.Run("keys="+strconv.Itoa(n)+"/table", func(b *testing.B) {
			l := newLimiter(b, Definition{Name: "l", Rate: 10, Burst: 10, Keys: 1 << 18})
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * time.Microsecond
				if decision := l.Take(now, []Claim{{0, keys[i%n]}}); decision.Admitted {
					l.Release(decision.Grant)
				}
			}
			b.ReportMetric(float64(l.Bytes())/float64(1<<18), "B/key")
		})
		b.Run("keys="+strconv.Itoa(n)+"/map", func(b *testing.B) {
			reference := newReferenceLimit(Definition{Rate: 10, Burst: 10})
			for i := 0; b.Loop(); i++ {
				if key := keys[i%n]; reference.take(time.Duration(i)*time.Microsecond, key) {
					reference.release(key)
				}
			}
		})
	}
}

// wheelLimit is the reference limit with a timing wheel in which idle keys are found and forgotten.
type wheelLimit struct {
	*referenceLimit
	wheel        [64][]string  // keys by the slot in which they may be idle
	advancedTo   int           // number of slots that have expired
	slotDuration time.Duration // duration of one slot of the wheel
}

func (w *wheelLimit) take(now time.Duration, key string) bool {
	for target := int(now / w.slotDuration); w.advancedTo < target; w.advancedTo++ {
		w.expire(w.advancedTo%len(w.wheel), now)
	}
	_, known := w.theoreticalArrival[key]
	admitted := w.referenceLimit.take(now, key)
	if !known {
		w.schedule(key)
	}
	return admitted
}

// expire forgets the idle keys of a slot of the wheel and moves the others to later slots.
func (w *wheelLimit) expire(slot int, now time.Duration) {
	for _, key := range w.wheel[slot] {
		arrival, known := w.theoreticalArrival[key]
		switch {
		case !known:
		case arrival <= now:
			delete(w.theoreticalArrival, key)
			delete(w.open, key)
		default:
			w.schedule(key)
		}
	}
	w.wheel[slot] = w.wheel[slot][:0]
}

// schedule puts a key into the slot of the wheel in which it will be idle.
func (w *wheelLimit) schedule(key string) {
	slot := int(w.theoreticalArrival[key]/w.slotDuration) % len(w.wheel)
	w.wheel[slot] = append(w.wheel[slot], key)
}

// BenchmarkOneTimeKeys measures requests that each have a new key, a million of them a second.
func BenchmarkOneTimeKeys(b *testing.B) {
	definition := Definition{Name: "l", Rate: 10, Burst: 10, Keys: 1 << 18}
	b.Run("table", func(b *testing.B) {
		l := newLimiter(b, definition)
		for i := 0; b.Loop(); i++ {
			l.Take(time.Duration(i)*time.Microsecond, []Claim{{0, strconv.Itoa(i)}})
		}
	})
	b.Run("sketch", func(b *testing.B) {
		t := newTable(definition, false)
		for i := 0; b.Loop(); i++ {
			now := time.Duration(i) * time.Microsecond
			e := t.estimate(xxhash.Sum64String(strconv.Itoa(i)))
			if t.wait(e, now) == 0 {
				e.theoreticalArrival = max(e.theoreticalArrival, now) + t.interval
				t.countInSketch(e)
			}
		}
	})
	b.Run("map-and-wheel", func(b *testing.B) {
		w := &wheelLimit{referenceLimit: newReferenceLimit(definition), slotDuration: 10 * time.Millisecond}
		for i := 0; b.Loop(); i++ {
			w.take(time.Duration(i)*time.Microsecond, strconv.Itoa(i))
		}
	})
}

// BenchmarkMapBytes measures the memory that plain maps take for each of a million keys.
func BenchmarkMapBytes(b *testing.B) {
	const n = 1_000_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		reference := newReferenceLimit(Definition{Rate: 10, Burst: 10})
		for i := range n {
			reference.take(0, projectKey(i))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/key")
		runtime.KeepAlive(reference)
	}
}
