package intake

// Resources are what the connections of all frontends share.
type Resources struct {
	Memory *Budget
	Pace   *Pace
}

// NewResources returns Resources with a number of bytes of memory.
func NewResources(bytes int) *Resources { return &Resources{Memory: NewBudget(bytes), Pace: &Pace{}} }

// Counts say how often connections have met their bounds so far.
type Counts struct {
	Lacked  int64 // reservations of memory that failed
	Evicted int64 // requests that lost their memory to others while they arrived
	Paused  int64 // pauses of connections that had used up their processor time
}

// Counts returns how often connections have met their bounds so far.
func (r *Resources) Counts() Counts {
	r.Memory.mu.Lock()
	defer r.Memory.mu.Unlock()
	return Counts{Lacked: r.Memory.lacked, Evicted: r.Memory.evicted, Paused: r.Pace.paused.Load()}
}
