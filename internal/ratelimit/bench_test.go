package ratelimit

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

func keys(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = "project-" + strconv.Itoa(i)
	}
	return all
}

// BenchmarkTake compares the table with a plain map that forgets nothing, at many keys.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{100, 100_000} {
		all := keys(n)
		b.Run("keys="+strconv.Itoa(n)+"/table", func(b *testing.B) {
			l := limiter(b, Definition{Name: "l", Rate: 10, Burst: 10, Keys: 1 << 18})
			for i := 0; b.Loop(); i++ {
				if v := l.Take(time.Duration(i)*time.Microsecond, []Claim{{0, all[i%n]}}); v.Admitted {
					l.Release(v.Grant)
				}
			}
			b.ReportMetric(float64(l.Bytes())/float64(1<<18), "B/key")
		})
		b.Run("keys="+strconv.Itoa(n)+"/map", func(b *testing.B) {
			p := &plain{Definition{Rate: 10, Burst: 10}, map[string]time.Duration{}, map[string]int{}}
			for i := 0; b.Loop(); i++ {
				if key := all[i%n]; p.take(time.Duration(i)*time.Microsecond, key) {
					p.open[key]--
				}
			}
		})
	}
}

// wheeled is the plain map with a timing wheel that forgets keys at rest.
type wheeled struct {
	plain
	wheel [64][]string
	at    int
	tick  time.Duration
}

func (w *wheeled) take(now time.Duration, key string) bool {
	for at := int(now / w.tick); w.at < at; w.at++ {
		slot := w.at % len(w.wheel)
		for _, old := range w.wheel[slot] {
			if due, ok := w.due[old]; ok && due <= now {
				delete(w.due, old)
				delete(w.open, old)
			} else if ok {
				next := int(due/w.tick) % len(w.wheel)
				w.wheel[next] = append(w.wheel[next], old)
			}
		}
		w.wheel[slot] = w.wheel[slot][:0]
	}
	_, known := w.due[key]
	taken := w.plain.take(now, key)
	if !known {
		slot := int(w.due[key]/w.tick) % len(w.wheel)
		w.wheel[slot] = append(w.wheel[slot], key)
	}
	return taken
}

// BenchmarkInvented is what one invented key after another costs, a million of them a second.
func BenchmarkInvented(b *testing.B) {
	def := Definition{Name: "l", Rate: 10, Burst: 10, Keys: 1 << 18}
	b.Run("table", func(b *testing.B) {
		l := limiter(b, def)
		for i := 0; b.Loop(); i++ {
			l.Take(time.Duration(i)*time.Microsecond, []Claim{{0, strconv.Itoa(i)}})
		}
	})
	b.Run("sketch", func(b *testing.B) {
		t := newTable(def, false)
		for i := 0; b.Loop(); i++ {
			now, hash := time.Duration(i)*time.Microsecond, xxhash.Sum64String(strconv.Itoa(i))
			e := t.shared(hash)
			if t.wait(e, now) == 0 {
				e.due = max(e.due, now) + t.each
				t.spread(e)
			}
		}
	})
	b.Run("map-and-wheel", func(b *testing.B) {
		w := &wheeled{plain: plain{def, map[string]time.Duration{}, map[string]int{}}, tick: 10 * time.Millisecond}
		for i := 0; b.Loop(); i++ {
			w.take(time.Duration(i)*time.Microsecond, strconv.Itoa(i))
		}
	})
}

// BenchmarkMapBytes is what a plain map takes for a million keys.
func BenchmarkMapBytes(b *testing.B) {
	const n = 1_000_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		p := &plain{Definition{Rate: 10, Burst: 10}, map[string]time.Duration{}, map[string]int{}}
		for i := range n {
			p.take(0, "project-"+strconv.Itoa(i))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/key")
		runtime.KeepAlive(p)
	}
}
