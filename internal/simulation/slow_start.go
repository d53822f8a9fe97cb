package simulation

import "time"

// SlowStart describes the performance of a node after a start. While its caches are cold, it is slower, and too much
// load crashes it.
type SlowStart struct {
	StartShare float64       // speed at the start, as a share of full speed
	Duration   time.Duration // time from the start until full speed
	Multiple   float64       // multiple of its current capacity above which the load crashes it; 0: no load does
	Window     time.Duration // time over which the load is measured
}

// arrival is the number of units of a request and the time at which they arrived.
type arrival struct {
	at    time.Duration
	units float64
}

// SpeedShare returns the node's current speed as a share of full speed. It grows linearly during the slow start.
func (n *Node) SpeedShare() float64 {
	elapsed := n.Simulation.Now - n.Started
	if n.Started == 0 || n.SlowStart.Duration == 0 || elapsed >= n.SlowStart.Duration {
		return 1
	}
	return n.SlowStart.StartShare + (1-n.SlowStart.StartShare)*elapsed.Seconds()/n.SlowStart.Duration.Seconds()
}

// SlowStartCapacity returns the number of units that the node can currently receive within SlowStart.Window without a
// crash. 0 means any number.
func (n *Node) SlowStartCapacity() float64 {
	if n.SpeedShare() >= 1 || n.SlowStart.Multiple == 0 {
		return 0
	}
	return n.SlowStart.Multiple * n.SpeedShare() * n.Rate() * n.SlowStart.Window.Seconds()
}

// WindowUnits returns the number of units that the node has received within the last SlowStart.Window.
func (n *Node) WindowUnits() float64 {
	sum := 0.0
	for _, a := range n.arrivals {
		if a.at > n.Simulation.Now-n.SlowStart.Window {
			sum += a.units
		}
	}
	return sum
}

// recordArrival records received units. The node crashes if it is in slow start and has received more than it can take.
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
