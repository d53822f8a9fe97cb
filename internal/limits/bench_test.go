package limits

import (
	"runtime"
	"strconv"
	"testing"
	"time"
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
				if v := l.Take(time.Duration(i)*time.Microsecond, []Ask{{0, all[i%n]}}); v.Taken {
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
