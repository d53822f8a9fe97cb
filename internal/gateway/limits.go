package gateway

import (
	"fmt"
	"math"
	"runtime"
	"runtime/debug"

	"reachpulley/internal/config"
	"reachpulley/internal/frontend/h2frontend"
	"reachpulley/internal/intake"
)

// Division of memory.
const (
	// runtimeShare is the share of the memory limit that is the Go runtime's own limit, for heap and stacks. The rest
	// is for the program itself and for what exceeds the runtime's limit, which is a soft one.
	runtimeShare = 0.75
	// allocationShare is the share of the memory limit that may be allocated between two garbage collections.
	// Collections are expensive on a gateway that has only a part of a core.
	allocationShare = 0.2
	minHeapMB       = 4   // smallest heap at which the runtime starts a collection if GOGC is 100; it grows with GOGC
	maxGCPercent    = 400 // largest GOGC
	// responseShare is the share of the memory above baseMemoryMB for large responses that are in use.
	responseShare = 0.5
	baseMemoryMB  = 24 // what a gateway needs without large responses
	// mediumResponseShare is the share of the memory limit for responses that need neither little nor much memory.
	mediumResponseShare = 1. / 8
	// intakeShare is the share of the memory limit for requests until they are answered, beyond the free part of each
	// connection.
	intakeShare = 1. / 4
)

// Division of sockets.
const (
	reservedSockets   = 48  // for listeners, discovery, the standard streams and the runtime
	iscsiNodeSessions = 64  // iSCSI sessions with nodes
	minHTTPSockets    = 48  // minimum that has to be left for the HTTP frontend and backend
	clientShare       = 0.6 // clients' share of the sockets for HTTP; their idle connections count too
)

// ApplyRuntimeLimits sets what the Go runtime may use, for the whole process.
func ApplyRuntimeLimits(limits config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.Cores))))
	debug.SetGCPercent(gcPercent(limits.MemoryMB))
	debug.SetMemoryLimit(int64(runtimeShare * float64(limits.MemoryMB) * (1 << 20)))
}

// gcPercent returns GOGC for a memory limit. The heap in use is small, so it is the runtime's minimum heap that decides
// when a collection starts.
func gcPercent(memoryMB int) int {
	return min(maxGCPercent, max(100, int(100*allocationShare*float64(memoryMB)/minHeapMB)))
}

// responseBytes returns how much memory large responses may use.
func responseBytes(memoryMB int) int64 {
	return int64(responseShare * float64(max(0, memoryMB-baseMemoryMB)) * (1 << 20))
}

// newIntakeResources returns what requests may use until they are answered, in all frontends together.
func newIntakeResources(memoryMB int) *intake.Resources {
	return intake.NewResources(int(intakeShare * float64(memoryMB<<20)))
}

// socketBudget is how many sockets the HTTP frontend and the HTTP backend may use.
type socketBudget struct {
	clients int // sockets of the frontend
	nodes   int // sockets of the backend
}

// divideSockets subtracts from the limit the sockets that other parts may use, and divides the rest between the HTTP
// frontend and the HTTP backend.
func divideSockets(limit int, operator *config.Operator) (socketBudget, error) {
	available := limit - reservedSockets
	if iscsi := operator.ISCSI; iscsi != nil {
		available -= 2 * iscsi.Sessions // twice, as a rejected session needs a socket too
		if iscsi.Nodes == config.NodesISCSI {
			available -= iscsiNodeSessions
		}
		if available < minHTTPSockets {
			return socketBudget{}, tooFewSockets("iscsi.sessions", iscsi.Sessions)
		}
	}
	if h2c := operator.H2C; h2c.Enabled {
		available -= h2c.Connections + h2frontend.MaxRejectedConns
		if available < minHTTPSockets {
			return socketBudget{}, tooFewSockets("h2c.connections", h2c.Connections)
		}
	}
	clients := int(clientShare * float64(available))
	return socketBudget{clients: clients, nodes: available - clients}, nil
}

func tooFewSockets(key string, value int) error {
	return &ConfigError{Key: key, Err: fmt.Errorf("%d leaves fewer than %d sockets for HTTP", value, minHTTPSockets)}
}
