// Package httpfrontend serves clients that speak the platform's HTTP/1.1.
//
// A Frontend turns each HTTP request into an exchange of the event loop and the exchange's answer into the HTTP
// response. It takes the class, plan, placement and deadline of a request from the request's headers, from the
// operator's rules and from API contracts; requestBuilder documents which of them takes precedence. The HTTP/2 frontend
// passes its requests to the same Frontend, so both protocols share all checks.
//
// A Server accepts connections and reads their requests. It takes the place of net/http's server, which parses and holds
// what arrives before it can be asked whether there is memory or time for it:
//
//   - conn_tracker.go: the number of connections is bounded. Each has a state, and the least useful ones are evicted when
//     the limit is reached.
//   - input.go: one goroutine reads from each connection as soon as anything arrives, and never stops behind a request in
//     flight, so that a disconnect of the client is noticed and the time of each request counts from its arrival.
//   - request_decoder.go: a head is parsed once it is complete, and a body is decoded as it arrives. All memory is reserved
//     from package intake; what it has none for is scanned by request_boundary.go and rejected.
//   - answer.go, response_writer.go: requests are answered in turn. A connection that costs much pauses in between.
//   - server.go: a shutdown answers every request that has arrived, even one that has arrived only in part.
package httpfrontend
