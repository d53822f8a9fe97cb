package faulttest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// Hostile is a client that costs the gateway much, on one connection. It writes until the context ends or a write
// fails.
type Hostile func(ctx context.Context, conn net.Conn)

// HostileClients starts hostile clients. Each connects anew when its connection has ended.
func (r *Run) HostileClients(count int, behave Hostile) {
	r.HostileClientsAt(r.address, count, behave)
}

// HostileClientsAt starts hostile clients that connect to another frontend of the gateway.
func (r *Run) HostileClientsAt(address string, count int, behave Hostile) {
	for range count {
		r.Go(func(ctx context.Context) {
			for pause(ctx, rand.N(100*time.Millisecond)) {
				conn, err := net.DialTimeout("tcp", address, answerTimeout)
				if err != nil {
					continue
				}
				stop := context.AfterFunc(ctx, func() { conn.Close() })
				behave(ctx, conn)
				stop()
				conn.Close()
			}
		})
	}
}

// awaitEnd reads until the gateway ends the connection.
func awaitEnd(conn net.Conn) { io.Copy(io.Discard, conn) }

// discardAnswers reads what the gateway sends, beside the caller.
func discardAnswers(conn net.Conn) { go awaitEnd(conn) }

// silent sends nothing.
func silent(_ context.Context, conn net.Conn) { awaitEnd(conn) }

// unfinishedHead sends a head of many short fields that does not end, as much as a head may hold, and then waits.
func unfinishedHead(_ context.Context, conn net.Conn) {
	io.WriteString(conn, "GET /api/a/b HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 3800))
	awaitEnd(conn)
}

// endlessHead sends short fields without end, in pieces that a head could hold.
func endlessHead(ctx context.Context, conn net.Conn) {
	discardAnswers(conn)
	io.WriteString(conn, "GET /api/a/b HTTP/1.1\r\nHost: h\r\n")
	fields := strings.Repeat("a:\r\n", 1000)
	for pause(ctx, time.Millisecond) {
		if _, err := io.WriteString(conn, fields); err != nil {
			return
		}
	}
}

// unfinishedBody sends most of a large body and then waits.
func unfinishedBody(_ context.Context, conn net.Conn) {
	request := writeRequest(newID(), 0, nodeBodyLimit)
	io.WriteString(conn, request[:len(request)-16])
	awaitEnd(conn)
}

// finelyChunkedBody sends a large body in chunks of one byte, at the given interval between pieces of many chunks, and
// stops before its end.
func finelyChunkedBody(ctx context.Context, conn net.Conn) {
	const chunksPerPiece = 3 << 10
	io.WriteString(conn, writeHead(newID(), 0)+"Transfer-Encoding: chunked\r\n\r\n")
	piece := strings.Repeat("1\r\nx\r\n", chunksPerPiece)
	for sent := 0; sent < nodeBodyLimit-chunksPerPiece; sent += chunksPerPiece {
		if _, err := io.WriteString(conn, piece); err != nil {
			break
		}
		if !pause(ctx, 50*time.Millisecond) {
			return
		}
	}
	awaitEnd(conn)
}

// singleBytes sends a body byte by byte, each in a segment of its own, at full speed.
func singleBytes(_ context.Context, conn net.Conn) {
	discardAnswers(conn)
	for {
		request := writeRequest(newID(), 0, nodeBodyLimit)
		for i := range len(request) {
			if _, err := io.WriteString(conn, request[i:i+1]); err != nil {
				return
			}
		}
	}
}

// churn returns a hostile client that sends each request on a new connection, at full speed. With wait it reads the
// answer before it closes the connection.
func churn(request func() string, wait bool) Hostile {
	return func(ctx context.Context, first net.Conn) {
		address := first.RemoteAddr().String()
		for ctx.Err() == nil {
			conn, err := net.DialTimeout("tcp", address, answerTimeout)
			if err != nil {
				return
			}
			conn.SetDeadline(time.Now().Add(answerTimeout))
			io.WriteString(conn, request())
			if wait {
				conn.Read(make([]byte, 1))
			}
			conn.Close()
		}
	}
}

// flood returns a hostile client that sends requests at full speed and reads what it is sent. Each request is made
// anew.
func flood(request func() string) Hostile {
	const requestsPerWrite = 20
	return func(_ context.Context, conn net.Conn) {
		discardAnswers(conn)
		var text strings.Builder
		for {
			text.Reset()
			for range requestsPerWrite {
				text.WriteString(request())
			}
			if _, err := io.WriteString(conn, text.String()); err != nil {
				return
			}
		}
	}
}

// slowReader returns a client that sends reads without a pause and receives the answers at a few kB a second.
func slowReader(ctx context.Context, conn net.Conn) {
	const receiveBuffer, piece = 4 << 10, 1 << 10
	conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	go func() {
		for range 100 {
			if _, err := io.WriteString(conn, readRequest(newID(), rand.IntN(nodeCount))); err != nil {
				return
			}
		}
	}()
	for buffer := make([]byte, piece); pause(ctx, 100*time.Millisecond); {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// Requests of floods.
func requestWithoutID() string {
	return "GET /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: h\r\n\r\n"
}

func requestOfNewClass() string {
	class := fmt.Sprintf("class-%x", rand.Uint64())
	return requestHead("GET", newID(), class, readTimeout, 0) + "\r\n"
}

func requestOfNewVolume() string {
	path := fmt.Sprintf("/api/%016x/%016x", rand.Uint64(), rand.Uint64())
	head := requestHead("GET", newID(), "sheet-read", readTimeout, rand.IntN(nodeCount))
	return "GET " + path + head[strings.Index(head, " HTTP/1.1"):] + "\r\n"
}

func requestOfMissingShard() string { return readRequest(newID(), 1_000_000) }

func readinessCheck() string { return "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n" }

func malformedRequest() string { return "no request\r\n\r\n" }

// leaveBehind returns a client that sends a request and much behind it, and closes its connection after stay. It
// records the request.
func (r *Run) leaveBehind(behind string, stay time.Duration) {
	conn, err := net.DialTimeout("tcp", r.address, answerTimeout)
	if err != nil {
		return
	}
	discardAnswers(conn)
	q := Request{ID: newID(), Timeout: readTimeout}
	conn.SetWriteDeadline(time.Now().Add(stay))
	io.WriteString(conn, readRequest(q.ID, rand.IntN(nodeCount)))
	q.SentAt = timesOf(conn).sent
	io.WriteString(conn, behind) // as much of it as the sockets take
	time.Sleep(time.Until(q.SentAt.Add(stay)))
	conn.Close()
	q.LeftAt = time.Now()
	q.EndedAt = q.LeftAt
	r.Record.addRequest(q)
}

// LeavingClients starts clients that send a request and much behind it, and leave before it is answered.
func (r *Run) LeavingClients(count int, behind string, stay time.Duration) {
	for range count {
		r.Go(func(ctx context.Context) {
			for pause(ctx, rand.N(400*time.Millisecond)) {
				r.leaveBehind(behind, stay)
			}
		})
	}
}
