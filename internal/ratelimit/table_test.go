package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// inventedKeys plays requests of keys of which each comes once, beside honest and greedy keys.
type inventedKeys struct {
	limiter   *Limiter
	reference *referenceLimit // sees the honest keys alone
	random    *rand.Rand
	now       time.Duration

	honestRequests    int
	honestRejected    int
	referenceRejected int
	greedyRequests    int
	greedyAdmitted    int
}

const (
	inventedPerSecond = 1_000_000
	honestKeys        = 100
	honestRate        = 8 // requests a second of each honest key, of the 10 that the limit allows
)

func (p *inventedKeys) play(count int) {
	for i := range count {
		p.now += time.Second / inventedPerSecond
		p.limiter.Take(p.now, []Claim{{0, "invented" + strconv.Itoa(i)}})
		if p.random.Float64() < honestRate*float64(honestKeys)/inventedPerSecond {
			p.requestHonest("honest" + strconv.Itoa(p.random.IntN(honestKeys)))
		}
		if i%1000 == 0 { // a hundred times the rate
			p.requestGreedy()
		}
	}
}

func (p *inventedKeys) requestHonest(key string) {
	p.honestRequests++
	if !p.limiter.Take(p.now, []Claim{{0, key}}).Admitted {
		p.honestRejected++
	}
	if !p.reference.take(p.now, key) {
		p.referenceRejected++
	}
}

func (p *inventedKeys) requestGreedy() {
	p.greedyRequests++
	if p.limiter.Take(p.now, []Claim{{0, "greedy"}}).Admitted {
		p.greedyAdmitted++
	}
}

// Ten million keys, each new, come beside 100 honest ones that request 80% of their rate. Memory stays what it is, and
// the limits of the honest keys hold.
func TestInventedKeys(t *testing.T) {
	invented := 10_000_000
	if testing.Short() || raceEnabled {
		invented = 1_000_000
	}
	l := newLimiter(t, Definition{Name: "l", Rate: 10, Burst: 5, Keys: 1 << 18})
	bytes := l.Bytes()
	if bytes > 16<<20 {
		t.Errorf("%d bytes", bytes)
	}
	p := &inventedKeys{
		limiter:   l,
		reference: newReferenceLimit(Definition{Rate: 10, Burst: 5}),
		random:    rand.New(rand.NewPCG(1, 2)),
	}
	p.play(invented)
	// Plain maps reject some requests, too: they come at random.
	falselyRejected := float64(p.honestRejected-p.referenceRejected) / float64(p.honestRequests)
	if falselyRejected > 0.001 || falselyRejected < -0.001 {
		t.Errorf("of %d honest requests %d are rejected, %d by plain maps that see them alone",
			p.honestRequests, p.honestRejected, p.referenceRejected)
	}
	if maxAdmitted := 5 + int(10*p.now.Seconds()) + 1; p.greedyAdmitted > maxAdmitted {
		t.Errorf("the greedy key got %d, its limit is %d", p.greedyAdmitted, maxAdmitted)
	}
	if l.Bytes() != bytes {
		t.Error("memory grew")
	}
	t.Logf("%d keys in %d MB: honest rejected %d (by plain maps %d) of %d, greedy %d of %d", invented, bytes>>20,
		p.honestRejected, p.referenceRejected, p.honestRequests, p.greedyAdmitted, p.greedyRequests)
}

// Keys without a slot are never counted for less than they used, and open requests among them are released.
func TestKeysWithoutASlotAreNotUndercounted(t *testing.T) {
	l := newLimiter(t, Definition{Name: "l", Rate: 0.001, Burst: 3, Open: 2})
	var grants []Grant
	for i := range 20 * MinKeys {
		if decision := l.Take(0, []Claim{{0, strconv.Itoa(i)}}); decision.Admitted {
			grants = append(grants, decision.Grant)
		}
	}
	for i := range 50 {
		key := fmt.Sprint("late", i)
		admitted := 0
		for range 10 {
			if decision := l.Take(0, []Claim{{0, key}}); decision.Admitted {
				grants = append(grants, decision.Grant)
				admitted++
			}
		}
		if admitted > 2 {
			t.Errorf("%s got %d open of 2", key, admitted)
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
			t.Fatal("a slot still counts open requests")
		}
	}
	for _, row := range table.sketch {
		for _, cell := range row {
			if cell.open != 0 {
				t.Fatal("a cell of the sketch still counts open requests")
			}
		}
	}
}
