package ratelimit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Every run draws the same cases.
func init() { flag.Set("rapid.seed", "1") }

func limiter(t testing.TB, defs ...Definition) *Limiter {
	t.Helper()
	for i := range defs {
		if defs[i].Keys == 0 {
			defs[i].Keys = MinKeys
		}
	}
	l, err := New(defs)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// plain is the same limit by a map that forgets nothing.
type plain struct {
	def  Definition
	due  map[string]time.Duration
	open map[string]int
}

func (p *plain) take(now time.Duration, key string) bool {
	each := span(p.def.Rate)
	if p.def.Open > 0 && p.open[key] >= p.def.Open ||
		p.def.Rate > 0 && p.due[key]-now > time.Duration((p.def.Burst-1)*float64(each)) {
		return false
	}
	p.due[key] = max(p.due[key], now) + each
	p.open[key]++
	return true
}

// With room for all keys the table decides as a plain map does, whatever comes in which order.
func TestEqualsAPlainMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Definition{Name: "l", Keys: MinKeys, Rate: rapid.SampledFrom([]float64{0, 0.5, 3, 50}).Draw(t, "rate"),
			Burst: float64(rapid.IntRange(1, 5).Draw(t, "burst")), Open: rapid.IntRange(0, 3).Draw(t, "open")}
		if d.Rate == 0 && d.Open == 0 {
			d.Open = 1
		}
		l, err := New([]Definition{d})
		if err != nil {
			t.Fatal(err)
		}
		p := &plain{d, map[string]time.Duration{}, map[string]int{}}
		type out struct {
			key   string
			grant Grant
		}
		var open []out
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			if len(open) > 0 && rapid.Bool().Draw(t, "release") {
				l.Release(open[0].grant)
				p.open[open[0].key]--
				open = open[1:]
			}
			key := strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "key"))
			v := l.Take(now, []Claim{{0, key}})
			if want := p.take(now, key); v.Admitted != want {
				t.Fatalf("key %s at %v: %v, a plain map says %v", key, now, v.Admitted, want)
			}
			if v.Admitted {
				open = append(open, out{key, v.Grant})
			}
		}
		for _, o := range open {
			l.Release(o.grant)
		}
		if n := l.Live(0); d.Rate == 0 && n != 0 {
			t.Fatalf("%d keys are live with nothing open", n)
		}
	})
}

// A client that comes back when it is told to is taken.
func TestRetryAfterHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, err := New([]Definition{
			{Name: "child", Rate: rapid.Float64Range(0.1, 100).Draw(t, "rate"), Burst: rapid.Float64Range(1, 20).Draw(t, "burst"), Keys: MinKeys, Parent: "all"},
			{Name: "all", Rate: rapid.Float64Range(0.1, 100).Draw(t, "all rate"), Burst: rapid.Float64Range(1, 20).Draw(t, "all burst"), Keys: MinKeys}})
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		asks := []Claim{{0, "k"}, {1, ""}}
		for range 50 {
			v := l.Take(now, asks)
			if !v.Admitted {
				if v.RetryAfter <= 0 {
					t.Fatal("refused without a time")
				}
				// Times are told to clients in milliseconds, rounded up.
				now += v.RetryAfter.Truncate(time.Millisecond) + time.Millisecond
				if v = l.Take(now, asks); !v.Admitted {
					t.Fatalf("came back when told to and is to wait for %v more", v.RetryAfter)
				}
			}
			l.Release(v.Grant)
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
		}
	})
}

// All limits take a request or none counts it.
func TestAllOrNothing(t *testing.T) {
	l := limiter(t, Definition{Name: "child", Rate: 1, Burst: 5}, Definition{Name: "narrow", Rate: 1, Burst: 1})
	if v := l.Take(0, []Claim{{0, "k"}, {1, "n"}}); !v.Admitted {
		t.Fatal("the first is refused")
	}
	for range 10 {
		if v := l.Take(0, []Claim{{0, "k"}, {1, "n"}}); v.Admitted || v.Limit != 1 {
			t.Fatalf("%+v", v)
		}
	}
	for i := range 5 {
		if v := l.Take(0, []Claim{{0, "k"}}); v.Admitted != (i < 4) {
			t.Errorf("request %d after the refused ones: %v", i, v.Admitted)
		}
	}
}

func TestAStepBackOfTheClockGivesNothing(t *testing.T) {
	l := limiter(t, Definition{Name: "l", Rate: 1, Burst: 1})
	if !l.Take(time.Hour, []Claim{{0, "k"}}).Admitted || l.Take(time.Minute, []Claim{{0, "k"}}).Admitted {
		t.Error("a step back is taken for time")
	}
	if v := l.Take(time.Hour+time.Second, []Claim{{0, "k"}}); !v.Admitted {
		t.Errorf("a step back delays the key: %v", v.RetryAfter)
	}
	if !l.Take(1000*time.Hour, []Claim{{0, "k"}}).Admitted || l.Take(1000*time.Hour, []Claim{{0, "k"}}).Admitted {
		t.Error("a long rest gives more than the burst")
	}
}

func TestReplaceKeepsWhatStaysTheSame(t *testing.T) {
	one := Definition{Name: "one", Rate: 1, Burst: 1, Keys: MinKeys}
	two := Definition{Name: "two", Open: 1, Keys: MinKeys}
	l := limiter(t, one, two)
	held := l.Take(0, []Claim{{0, "k"}, {1, "k"}})
	if err := l.Replace([]Definition{two, one}); err != nil {
		t.Fatal(err)
	}
	if v := l.Take(0, []Claim{{1, "k"}}); v.Admitted {
		t.Error("the rate was forgotten")
	}
	if v := l.Take(0, []Claim{{0, "k"}}); v.Admitted {
		t.Error("the open request was forgotten")
	}
	l.Release(held.Grant) // taken before the limits changed their places
	if v := l.Take(0, []Claim{{0, "k"}}); !v.Admitted {
		t.Error("what ended is still counted as open")
	}
	one.Rate = 2
	if err := l.Replace([]Definition{one}); err != nil {
		t.Fatal(err)
	}
	if v := l.Take(0, []Claim{{0, "k"}}); !v.Admitted {
		t.Error("another limit's state was taken over")
	}
	if err := l.Replace([]Definition{{Name: "x"}}); err == nil || l.Take(0, []Claim{{0, "k"}}).Admitted {
		t.Error("a faulty list changed something")
	}
}

// Two keys ask for far more than their parent has, one of them ten times as much, and a third asks for little. The
// greedy ones get the same, and the modest one gets all that it asks for.
func TestFairAmongKeysOfAParent(t *testing.T) {
	l := limiter(t, Definition{Name: "client", Rate: 1000, Burst: 1000, Parent: "gateway"}, Definition{Name: "gateway", Rate: 100, Burst: 50})
	random := rand.New(rand.NewPCG(1, 2))
	got, asked := map[string]int{}, map[string]int{}
	for now := time.Duration(0); now < 60*time.Second; now += time.Millisecond {
		for _, one := range []struct {
			key    string
			chance float64
		}{{"greedy", 0.9}, {"modest", 0.01}, {"eager", 0.2}} {
			if key := one.key; random.Float64() < one.chance {
				asked[key]++
				if v := l.Take(now, []Claim{{0, key}, {1, ""}}); v.Admitted {
					got[key]++
					l.Release(v.Grant)
				}
			}
		}
	}
	if got["modest"] < asked["modest"]*98/100 {
		t.Errorf("the modest key got %d of %d", got["modest"], asked["modest"])
	}
	if ratio := float64(got["greedy"]) / float64(got["eager"]); ratio < 0.9 || ratio > 1.2 {
		t.Errorf("greedy %d, eager %d", got["greedy"], got["eager"])
	}
	if sum := got["greedy"] + got["modest"] + got["eager"]; sum < 5900 || sum > 6060 {
		t.Errorf("%d in 60 s at 100 a second", sum)
	}
}

// Ten million keys pass by, each new, beside 100 honest ones that ask for 80% of their rate. Memory stays what it is, and
// the honest keys' limits hold.
func TestInventedKeys(t *testing.T) {
	invented := 10_000_000
	if testing.Short() || raceEnabled {
		invented = 1_000_000
	}
	l := limiter(t, Definition{Name: "l", Rate: 10, Burst: 5, Keys: 1 << 18})
	bytes := l.Bytes()
	if bytes > 16<<20 {
		t.Errorf("%d bytes", bytes)
	}
	random := rand.New(rand.NewPCG(1, 2))
	const honest, perSecond = 100, 1_000_000
	now, refused, refusedPlain, asked, greedy, greedyGot := time.Duration(0), 0, 0, 0, 0, 0
	p := &plain{Definition{Rate: 10, Burst: 5}, map[string]time.Duration{}, map[string]int{}}
	for i := range invented {
		now += time.Second / perSecond
		l.Take(now, []Claim{{0, "invented" + strconv.Itoa(i)}})
		if random.Float64() < 8*float64(honest)/perSecond {
			asked++
			key := "honest" + strconv.Itoa(random.IntN(honest))
			if !l.Take(now, []Claim{{0, key}}).Admitted {
				refused++
			}
			if !p.take(now, key) {
				refusedPlain++
			}
		}
		if i%1000 == 0 { // a key that asks for a hundred times its rate
			if greedy++; l.Take(now, []Claim{{0, "greedy"}}).Admitted {
				greedyGot++
			}
		}
	}
	// Requests that come at random are refused at times by a plain map, too.
	if off := float64(refused-refusedPlain) / float64(asked); off > 0.001 || off < -0.001 {
		t.Errorf("of %d honest requests %d are refused, %d by a plain map that sees them alone", asked, refused, refusedPlain)
	}
	if most := 5 + int(10*now.Seconds()) + 1; greedyGot > most {
		t.Errorf("the greedy key got %d, its limit is %d", greedyGot, most)
	}
	if l.Bytes() != bytes {
		t.Error("memory grew")
	}
	t.Logf("%d keys in %d MB: honest refused %d (by a plain map %d) of %d, greedy %d of %d", invented, bytes>>20, refused, refusedPlain, asked, greedyGot, greedy)
}

// Keys without a slot are never counted for less than they used, and what is open among them is given back.
func TestSharedCells(t *testing.T) {
	l := limiter(t, Definition{Name: "l", Rate: 0.001, Burst: 3, Open: 2})
	var grants []Grant
	for i := range 20 * MinKeys {
		if v := l.Take(0, []Claim{{0, strconv.Itoa(i)}}); v.Admitted {
			grants = append(grants, v.Grant)
		}
	}
	for i := range 50 {
		key := fmt.Sprint("late", i)
		got := 0
		for range 10 {
			if v := l.Take(0, []Claim{{0, key}}); v.Admitted {
				grants = append(grants, v.Grant)
				got++
			}
		}
		if got > 2 {
			t.Errorf("%s got %d open of 2", key, got)
		}
	}
	for _, g := range grants {
		l.Release(g)
	}
	for i := range l.tables[0].slots {
		if l.tables[0].slots[i].open != 0 {
			t.Fatal("a slot still counts open requests")
		}
	}
	for row := range l.tables[0].cells {
		for _, c := range l.tables[0].cells[row] {
			if c.open != 0 {
				t.Fatal("a cell still counts open requests")
			}
		}
	}
}

func TestFaults(t *testing.T) {
	good := Definition{Name: "a", Rate: 1, Burst: 1, Keys: MinKeys}
	with := func(change func(*Definition)) Definition { d := good; change(&d); return d }
	for want, defs := range map[string][]Definition{
		`limit "a": the name is missing or taken`:            {good, good},
		`limit "a": rate: -1 is not`:                         {with(func(d *Definition) { d.Rate = -1 })},
		`limit "a": burst: 0.5 is not`:                       {with(func(d *Definition) { d.Burst = 0.5 })},
		`limit "a": open: -1 is not`:                         {with(func(d *Definition) { d.Open = -1 })},
		`limit "a": it bounds neither`:                       {with(func(d *Definition) { d.Rate = 0 })},
		`limit "a": keys: 5 is not`:                          {with(func(d *Definition) { d.Keys = 5 })},
		`limit "a": parent: there is no limit "b"`:           {with(func(d *Definition) { d.Parent = "b" })},
		`limit "a": parent: it has itself above it, or more`: {with(func(d *Definition) { d.Parent = "a" })},
	} {
		if _, err := New(defs); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}
