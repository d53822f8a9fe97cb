// Package simulation is a small laboratory in simulated time: nodes that queue, slow down and fail, gateways that decide by package scheduler, and clients that wait
// for their answers and try again. It runs by the thousand in tests, and a run follows from its seed alone.
package simulation

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Simulation is the clock and what is to happen.
type Simulation struct {
	Now    time.Duration
	Random *rand.Rand
	due    events
	order  uint64
}

// New makes a World whose clock begins at an hour, as a scheduler's times of 0 mean long ago.
func New(seed uint64) *Simulation {
	return &Simulation{Now: time.Hour, Random: rand.New(rand.NewPCG(seed, 11))}
}

// After has something happen.
func (w *Simulation) After(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.due, event{w.Now + max(0, d), w.order, do})
}

// Run lets time pass.
func (w *Simulation) Run(d time.Duration) {
	end := w.Now + d
	for len(w.due) > 0 && w.due[0].at <= end {
		e := heap.Pop(&w.due).(event)
		w.Now = e.at
		e.do()
	}
	w.Now = end
}

// event happens at a time; those of one time in the order in which they were called for.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
