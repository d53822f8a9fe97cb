// Package httpfrontend serves clients that speak the platform's HTTP/1.1.
//
// A Frontend turns each HTTP request into an exchange of the event loop and the exchange's answer into the HTTP
// response. It takes the class, plan, placement and deadline of a request from the request's headers, from the
// operator's rules and from API contracts; requestBuilder documents which of them takes precedence. The HTTP/2 frontend
// passes its requests to the same Frontend, so both protocols share all checks.
//
// A Server accepts connections and serves them with net/http, which leaves three things to this package:
//
//   - The number of sockets is bounded. The listener, connTracker, follows the state of each connection and evicts the
//     least useful ones when the limit is reached.
//   - A disconnect of the client is noticed at once, and the time of a pipelined request counts from its arrival. For
//     both, readAhead reads from each connection as soon as anything arrives.
//   - A shutdown answers every request that has arrived, even one that has arrived only in part.
//     http.Server.Shutdown drops such requests.
package httpfrontend
