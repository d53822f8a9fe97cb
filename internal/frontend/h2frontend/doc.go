// Package h2frontend serves clients that speak HTTP/2 without TLS, with prior knowledge (RFC 9113, section 3.3).
//
// It owns connections, frames, streams and flow-control windows, and leaves the decisions to others. A Handler, which
// is the HTTP/1.1 frontend, interprets and answers requests. Package admission decides which streams are admitted in
// which order, and which connections are closed or asked to leave by a GOAWAY.
//
// Each connection has two goroutines: one reads frames (read.go, request.go) and one writes them (write.go). Each
// admitted request has its own goroutine, which waits for the Handler (stream.go). Whatever ends a connection or a
// stream, conn.serve releases the connection and conn.removeLocked removes the stream.
//
// A goroutine that needs both locks takes Server.mu before conn.mu.
package h2frontend
