package simulation

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/retrybudget"
)

var budget = retrybudget.Settings{Share: 0.2, Trickle: 0.5, Burst: 10, Cells: 1024}

// What all nodes share fails calls and does their work all the same. Without budgets, the attempts that a slow time leaves behind keep it failing for as long as anybody
// looks; with them, as many are served as before within seconds.
func TestBudgetsEndAStorm(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		s := SharedStorm(seed)
		s.Length = 60 * time.Second
		without, err := s.Run()
		if err != nil {
			t.Fatal(err)
		}
		s.Retry = budget
		with, err := s.Run()
		if err != nil {
			t.Fatal(err)
		}
		if without.Recovered >= 0 || with.Recovered < 0 || with.Recovered > 15*time.Second || without.Before < 150 {
			t.Errorf("seed %d: recovered after %v with budgets, %v without", seed, with.Recovered, without.Recovered)
		}
	}
}

// Where it is the nodes that slow down, the decisions' caps alone end it, and a proxy without them never does.
func TestCapsEndAStormOfSlowNodes(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		s := NodeStorm(seed)
		s.Length = 60 * time.Second
		decided, err := s.Run()
		if err != nil {
			t.Fatal(err)
		}
		s.Passthrough = true
		plain, err := s.Run()
		if err != nil {
			t.Fatal(err)
		}
		if decided.Recovered < 0 || decided.Recovered > 10*time.Second || plain.Recovered >= 0 {
			t.Errorf("seed %d: recovered after %v, and %v as a plain proxy", seed, decided.Recovered, plain.Recovered)
		}
	}
}

// A run follows from its seed.
func TestRunsAreAlike(t *testing.T) {
	s := SharedStorm(7)
	s.Length, s.Retry = 30*time.Second, budget
	one, err := s.Run()
	if err != nil {
		t.Fatal(err)
	}
	if two, _ := s.Run(); !cmp.Equal(one, two) {
		t.Error("two runs of a seed differ")
	}
}

// Every try has one answer, whatever becomes of it.
func TestEveryTryIsAnswered(t *testing.T) {
	s := SharedStorm(5)
	s.Length = 40 * time.Second
	r, err := s.Run()
	if err != nil {
		t.Fatal(err)
	}
	asked, answered := 0, 0
	for _, one := range r.Seconds {
		asked += one.Submitted
		answered += one.Served + one.Rejected + one.Failed
	}
	if asked-answered < 0 || asked-answered > s.Clients { // those that are under way
		t.Errorf("%d asked, %d answered", asked, answered)
	}
}
