package admission

// ConnectionID identifies a connection. The caller never uses an ID twice.
type ConnectionID uint64

// StreamID identifies a stream within its connection.
type StreamID uint32

// ActionKind is what an Action asks the caller to do.
type ActionKind int

// The kinds of Action.
const (
	StartStream     ActionKind = iota // process the stream's request
	RejectStream                      // REFUSED_STREAM: it was not processed (RFC 9113, section 8.7)
	ExpireStream                      // reject the stream: it has waited for too long and was not processed
	AbortStream                       // reset the stream: its response makes no progress
	LimitStreams                      // announce a new limit of streams on the connection
	GoAway                            // send GOAWAY: open streams are completed, the client should open no more
	DrainConnection                   // send GOAWAY: streams in flight are answered, no others; a close follows
	CloseConnection                   // close the connection: it has no streams in flight
	DropConnection                    // close the connection: its streams in flight are given up
)

var actionNames = [...]string{
	StartStream:     "start",
	RejectStream:    "reject",
	ExpireStream:    "expire",
	AbortStream:     "abort",
	LimitStreams:    "limit",
	GoAway:          "go away",
	DrainConnection: "drain",
	CloseConnection: "close",
	DropConnection:  "drop",
}

// String returns the name of an ActionKind, for tests.
func (k ActionKind) String() string { return actionNames[k] }

// Action is what the caller is to do. The caller carries out actions in their order.
type Action struct {
	Kind       ActionKind
	Connection ConnectionID
	Stream     StreamID // for actions on streams
	Count      int      // for LimitStreams: the new limit
	Reason     string   // for actions on connections except LimitStreams; the client gets it as debug data
}

// The reasons of actions on connections. Clients get them as debug data.
const (
	reasonAge      = "age"
	reasonRequests = "requests"
	reasonDrain    = "drain"
	reasonAbuse    = "abuse"
	reasonStalled  = "nothing is read"
)
