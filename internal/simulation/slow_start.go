package simulation

import "time"

// SlowStart describes how a node performs after a start: its caches are cold, and too much load crashes it.
type SlowStart struct {
	StartShare float64       // share of its full speed with which it starts
	Duration   time.Duration // after which it has its full speed
	Multiple   float64       // of what it can do at the time, received within Window, that crashes it; 0: nothing does
	Window     time.Duration
}

// arrival is a request's units and when they arrived.
type arrival struct {
	at    time.Duration
	units float64
}

// SpeedShare returns the share of its full speed that a node has now. It grows linearly during the slow start.
func (n *Node) SpeedShare() float64 {
	elapsed := n.Simulation.Now - n.Started
	if n.Started == 0 || n.SlowStart.Duration == 0 || elapsed >= n.SlowStart.Duration {
		return 1
	}
	return n.SlowStart.StartShare + (1-n.SlowStart.StartShare)*elapsed.Seconds()/n.SlowStart.Duration.Seconds()
}

// SlowStartCapacity returns how many units a node can receive within SlowStart.Window now without a crash. 0 means any
// number.
func (n *Node) SlowStartCapacity() float64 {
	if n.SpeedShare() >= 1 || n.SlowStart.Multiple == 0 {
		return 0
	}
	return n.SlowStart.Multiple * n.SpeedShare() * n.Rate() * n.SlowStart.Window.Seconds()
}

// WindowUnits returns how many units the node has received within SlowStart.Window.
func (n *Node) WindowUnits() float64 {
	sum := 0.0
	for _, a := range n.arrivals {
		if a.at > n.Simulation.Now-n.SlowStart.Window {
			sum += a.units
		}
	}
	return sum
}

// recordArrival counts received units. If they are more than a node in slow start can take, the node crashes.
func (n *Node) recordArrival(units float64) {
	if n.SlowStart.Window == 0 {
		return
	}
	expired := 0
	for expired < len(n.arrivals) && n.arrivals[expired].at <= n.Simulation.Now-n.SlowStart.Window {
		expired++
	}
	n.arrivals = append(n.arrivals[expired:], arrival{at: n.Simulation.Now, units: units})
	if capacity := n.SlowStartCapacity(); capacity > 0 && n.WindowUnits() > capacity {
		n.Crashed = true
		n.Unresponsive = true
	}
}
