// Package h2frontend serves clients that speak HTTP/2 without TLS, with prior knowledge (RFC 9113, section 3.3).
//
// It owns connections, frames, streams and flow-control windows. It decides nothing: what a request means and how it
// is answered is up to a Handler, which is the HTTP/1.1 frontend, and which streams are admitted in what order, and
// which connections are told to leave, is up to package admission.
//
// Each connection has two goroutines: one reads frames (read.go, request.go) and one writes them (write.go). Each
// request that is admitted has a goroutine of its own, which waits for the Handler (stream.go). A connection ends in
// conn.serve, and a stream in conn.removeLocked, whatever the reason.
//
// Locks are taken in this order: Server.mu, conn.mu.
package h2frontend
