package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// oneTimeKeyFlood sends requests of keys that come only once, beside those of honest keys and of a greedy one.
type oneTimeKeyFlood struct {
	limiter   *Limiter
	reference *referenceLimit // gets only the requests of the honest keys
	random    *rand.Rand
	now       time.Duration

	honestRequests    int
	honestRejected    int
	referenceRejected int
	greedyRequests    int
	greedyAdmitted    int
}

const (
	oneTimeKeysPerSecond = 1_000_000
	honestKeys           = 100
	honestRate           = 8 // requests a second of each honest key, of the 10 that the limit allows
)

// play sends the requests of count one-time keys, with those of the other keys between them.
func (p *oneTimeKeyFlood) play(count int) {
	for i := range count {
		p.now += time.Second / oneTimeKeysPerSecond
		p.limiter.Take(p.now, []Claim{{0, "once" + strconv.Itoa(i)}})
		if p.random.Float64() < honestRate*float64(honestKeys)/oneTimeKeysPerSecond {
			p.requestHonest("honest" + strconv.Itoa(p.random.IntN(honestKeys)))
		}
		if i%1000 == 0 { // a thousand requests a second, a hundred times the rate of the limit
			p.requestGreedy()
		}
	}
}

func (p *oneTimeKeyFlood) requestHonest(key string) {
	p.honestRequests++
	if !p.limiter.Take(p.now, []Claim{{0, key}}).Admitted {
		p.honestRejected++
	}
	if !p.reference.take(p.now, key) {
		p.referenceRejected++
	}
}

func (p *oneTimeKeyFlood) requestGreedy() {
	p.greedyRequests++
	if p.limiter.Take(p.now, []Claim{{0, "greedy"}}).Admitted {
		p.greedyAdmitted++
	}
}

// A flood of ten million keys that come only once neither takes memory nor affects other keys: 100 honest keys that
// request 80% of their rate are rejected as often as by plain maps without the flood, within 0.1% of their requests,
// and a greedy key gets no more than its limit.
func TestFloodOfOneTimeKeysAffectsNoOtherKey(t *testing.T) {
	oneTimeKeys := 10_000_000
	if testing.Short() || raceEnabled {
		oneTimeKeys = 1_000_000
	}
	l := newLimiter(t, Definition{Name: "l", Rate: 10, Burst: 5, Keys: 1 << 18})
	bytes := l.Bytes()
	if bytes > 16<<20 {
		t.Errorf("the limiter takes %d bytes, want at most 16 MiB", bytes)
	}
	p := &oneTimeKeyFlood{
		limiter:   l,
		reference: newReferenceLimit(Definition{Rate: 10, Burst: 5}),
		random:    rand.New(rand.NewPCG(1, 2)),
	}
	p.play(oneTimeKeys)
	// Plain maps reject some honest requests, too, because these come at random times.
	falselyRejected := float64(p.honestRejected-p.referenceRejected) / float64(p.honestRequests)
	if falselyRejected > 0.001 || falselyRejected < -0.001 {
		t.Errorf("of %d honest requests, %d are rejected, want %d as by plain maps that get no others, within 0.1%%",
			p.honestRequests, p.honestRejected, p.referenceRejected)
	}
	if maxAdmitted := 5 + int(10*p.now.Seconds()) + 1; p.greedyAdmitted > maxAdmitted {
		t.Errorf("%d requests of the greedy key are admitted, its limit is %d", p.greedyAdmitted, maxAdmitted)
	}
	if l.Bytes() != bytes {
		t.Errorf("the limiter takes %d bytes after the flood, want %d as before", l.Bytes(), bytes)
	}
	t.Logf("%d keys in %d MiB: %d honest requests rejected (%d by plain maps) of %d, %d greedy ones admitted of %d",
		oneTimeKeys, bytes>>20,
		p.honestRejected, p.referenceRejected, p.honestRequests, p.greedyAdmitted, p.greedyRequests)
}

// The sketch never counts less for a key than it used, and releases the open requests of its keys.
func TestKeysWithoutASlotAreNotUndercounted(t *testing.T) {
	l := newLimiter(t, Definition{Name: "l", Rate: 0.001, Burst: 3, Concurrency: 2})
	var grants []Grant
	for i := range 20 * MinKeys {
		if decision := l.Take(0, []Claim{{0, strconv.Itoa(i)}}); decision.Admitted {
			grants = append(grants, decision.Grant)
		}
	}
	for i := range 50 {
		key := fmt.Sprint("no slot", i)
		admitted := 0
		for range 10 {
			if decision := l.Take(0, []Claim{{0, key}}); decision.Admitted {
				grants = append(grants, decision.Grant)
				admitted++
			}
		}
		if admitted > 2 {
			t.Errorf("key %q got %d open requests, its limit is 2", key, admitted)
		}
	}
	for _, grant := range grants {
		l.Release(grant)
	}
	expectNothingOpen(t, l.tables[0])
}

func expectNothingOpen(t *testing.T, table *table) {
	t.Helper()
	for i := range table.slots {
		if table.slots[i].open != 0 {
			t.Fatalf("slot %d counts %d open requests after all were released", i, table.slots[i].open)
		}
	}
	for _, row := range table.sketch {
		for _, cell := range row {
			if cell.open != 0 {
				t.Fatalf("a cell of the sketch counts %d open requests after all were released", cell.open)
			}
		}
	}
}
