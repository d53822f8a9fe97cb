package timeline

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"reachpulley/internal/capture"
	"reachpulley/scheduler"
)

// Filter selects by name the nodes and volumes that are written. An empty list selects none.
type Filter struct{ Nodes, Volumes []string }

// WriteState writes the number of open requests in a state, a table of the listed nodes and one of the volumes. The
// tables show the nodes and volumes that the filter selects, or all if it is nil.
func WriteState(
	state *scheduler.Snapshot, clock Clock, settings scheduler.Settings, filter *Filter, out io.Writer,
) error {
	fmt.Fprintf(out, "%s: %d requests are open, %d of them not assigned to a node\n",
		clock.Format(state.Now), len(state.Requests), len(state.Unassigned))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "node\tphase\tshard\tconcurrency limit\tin flight\tattempts\twaiting\tlatency\tmin latency\t"+
		"queue\tmax rate\tfailures\tbackoff\tslow start")
	for i := range state.Nodes[:state.Listed] {
		node := &state.Nodes[i]
		if filter == nil || slices.Contains(filter.Nodes, node.Node.ID) {
			writeNode(table, state, node, settings)
		}
	}
	fmt.Fprintln(table, "\nvolume\tplan\tserved\treserve tokens\treserve rate\tlimit tokens\tlimit rate\t"+
		"open requests\t\t\t\t\t\t")
	openRequests := map[int]int{} // numbers of open requests by index of the volume
	for _, r := range state.Requests {
		openRequests[r.Volume]++
	}
	for i := range state.Volumes {
		volume := &state.Volumes[i]
		if filter == nil || slices.Contains(filter.Volumes, volume.Name) {
			writeVolume(table, volume, openRequests[i], settings)
		}
	}
	return table.Flush()
}

var phaseNames = [...]string{
	scheduler.Up:       "up",
	scheduler.Draining: "draining",
	scheduler.Removed:  "removed",
}

func writeNode(
	table io.Writer, state *scheduler.Snapshot, node *scheduler.SnapshotNode, settings scheduler.Settings,
) {
	waitingUnits := 0.0
	for _, i := range node.Waiting {
		waitingUnits += state.Requests[i].Request.Units
	}
	slowStart := time.Duration(0) // remaining time
	if node.WarmingSince > 0 {
		slowStart = max(0, settings.Rules.SlowStartDuration-(state.Now-node.WarmingSince))
	}
	fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\t%.1f\t%d\t%.1f\t%.0f ms\t%.0f ms\t%.0f ms\t%.1f/s\t%d\t%v\t%v\n",
		node.Node.ID,
		phaseNames[min(int(node.Node.Phase), len(phaseNames)-1)],
		node.Node.Shard,
		node.ConcurrencyLimit,
		node.UnitsInFlight,
		node.AttemptsInFlight,
		waitingUnits,
		node.Latency*1000,
		node.MinLatency*1000,
		node.QueueTime*1000,
		node.MaxRate,
		node.Failures,
		roundMS(max(0, node.BackoffUntil-state.Now)),
		roundMS(slowStart))
}

func writeVolume(
	table io.Writer, volume *scheduler.SnapshotVolume, openRequests int, settings scheduler.Settings,
) {
	plan := ""
	if volume.Plan >= 0 && volume.Plan < len(settings.Plans) {
		plan = settings.Plans[volume.Plan].Name
	}
	fmt.Fprintf(table, "%s\t%s\t%.1f/s\t%.1f\t%.1f/s\t%.1f\t%.1f/s\t%d\t\t\t\t\t\t\n",
		volume.Name,
		plan,
		volume.OwnUnits,
		volume.Reserve.Tokens,
		volume.Reserve.Rate,
		volume.Limit.Tokens,
		volume.Limit.Rate,
		openRequests)
}

// WriteContext writes the requests, nodes and volumes of a state that a difference is about.
func WriteContext(
	state *scheduler.Snapshot, clock Clock, settings scheduler.Settings, difference *capture.Difference, out io.Writer,
) error {
	ids, filter := involved(difference)
	for i := range state.Requests {
		open := &state.Requests[i]
		if !slices.Contains(ids, open.Request.ID) {
			continue
		}
		filter.Volumes = append(filter.Volumes, open.Request.Volume)
		if open.Node >= 0 {
			filter.Nodes = append(filter.Nodes, state.Nodes[open.Node].Node.ID)
		}
		fmt.Fprintf(out, "request %s: %s\n", open.Request.ID, describeRequest(&open.Request, settings))
		writePosition(out, state, open.Request.ID)
	}
	return WriteState(state, clock, settings, filter, out)
}

// involved returns the IDs of the requests that a difference names, and a filter for the nodes and volumes that it
// names.
func involved(difference *capture.Difference) (ids []string, filter *Filter) {
	filter = &Filter{}
	for _, r := range []*capture.Record{difference.Input, difference.Recorded, difference.Replayed} {
		if r == nil {
			continue
		}
		ids = append(ids, r.ID)
		filter.Nodes = append(filter.Nodes, r.Node)
		if r.Outcome != nil {
			ids = append(ids, r.Outcome.ID)
			filter.Nodes = append(filter.Nodes, r.Outcome.Node)
		}
		if r.Request != nil {
			ids = append(ids, r.Request.ID)
			filter.Volumes = append(filter.Volumes, r.Request.Volume)
		}
	}
	return ids, filter
}

var tierNames = [...]string{"within its volume's reserve", "beyond its volume's reserve"}

// writePosition writes the position of an open request in a state: in flight, in the queue of a node, or not assigned
// to a node. It writes nothing if the state does not hold the request.
func writePosition(out io.Writer, state *scheduler.Snapshot, id string) {
	index := findRequest(state, id)
	if index < 0 {
		return
	}
	request := &state.Requests[index]
	position := ""
	switch {
	case len(request.InFlight) > 0:
		attempt := request.InFlight[0]
		position = fmt.Sprintf("attempt %d in flight at %s for %v",
			attempt.Number+1, state.Nodes[attempt.Node].Node.ID, roundMS(state.Now-attempt.SentAt))
	case request.Node >= 0:
		node := &state.Nodes[request.Node]
		position = fmt.Sprintf("position %d of %d in the queue of %s, %s, tag %.2f",
			slices.Index(node.Waiting, index)+1, len(node.Waiting), node.Node.ID, tierNames[request.Tier], request.Tag)
	default:
		position = "not assigned to a node"
	}
	fmt.Fprintf(out, "    before: %s; latency objective in %v, answer due in %v\n",
		position, roundMS(request.ObjectiveAt-state.Now), roundMS(request.AnswerBy-state.Now))
}
