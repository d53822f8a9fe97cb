package httpfrontend

// connState is the state of a client's connection. It is more detailed than http.ConnState, since the tracker decides
// by it which connection to evict and which to close at shutdown:
//
//	from                        to              event
//	stateNew, stateIdle         stateReading    the first bytes of a request arrive
//	stateReading                stateActive     the request is complete and will be served
//	stateReading, stateActive   stateIdle       the response is written
//	stateNew ... stateIdle      stateLingering  its last response is written, a deadline has passed, or the server stops
//	                                            while it is new or idle
//	stateLingering              stateClosed     the client closes its side, or lingerTimeout passes
//	all except stateActive      stateClosed     the connection is evicted
//
// Readiness checks are answered in stateReading, and so are requests that are rejected before they reach the Frontend.
//
// States are ordered: from stateLingering on, a connection serves no further requests.
type connState int

const (
	stateNew       connState = iota // nothing has been received
	stateReading                    // a part of a request has been received
	stateActive                     // a request is being served
	stateIdle                       // the last request is answered
	stateLingering                  // nothing more is sent; input is read and discarded until the client closes
	stateClosed
)

// closing reports whether the connection serves no further requests.
func (s connState) closing() bool { return s >= stateLingering }
