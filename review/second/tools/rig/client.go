package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Client is a client on HTTP/1.1 that keeps its connection and sends one request at a time.
type Client struct {
	rig    *Rig
	name   string
	conn   net.Conn
	reader *bufio.Reader
}

// NewClient connects to a gateway.
func (r *Rig) NewClient(address, name string) *Client {
	conn, err := net.Dial("tcp", address)
	r.Must(err)
	return &Client{rig: r, name: name, conn: conn, reader: bufio.NewReader(conn)}
}

// Close closes the connection.
func (c *Client) Close() { c.conn.Close() }

// Request is a request in the platform's form.
type Request struct {
	Write    bool
	Volume   string
	Data     string
	ID       string
	Class    string
	Plan     string // empty: standard
	Key      string // idempotency key; empty: none
	Deadline time.Duration
	Units    int // 0: 1
	Shard    int
	Body     []byte
}

// Answer is the answer to a request.
type Answer struct {
	Status     int
	RetryAfter string
	Body       []byte
	Close      bool // the connection is closed after the answer
	Took       time.Duration
}

// Do sends a request and reads the answer. The time of the answer counts from the last byte of the request.
func (c *Client) Do(q Request) (Answer, error) {
	method := "GET"
	if q.Write {
		method = "PUT"
	}
	if q.Plan == "" {
		q.Plan = "standard"
	}
	text := fmt.Sprintf("%s /api/%s/%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\n"+
		"X-Qos-Policy: %s\r\nX-Deadline: %dm\r\nX-Placement: units=%d,shard=%d,hosts=1\r\n", method, q.Volume, q.Data, q.ID,
		q.Class, q.Plan, q.Deadline.Milliseconds(), max(q.Units, 1), q.Shard)
	if q.Key != "" {
		text += "Idempotency-Key: " + q.Key + "\r\n"
	}
	if q.Write {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	if _, err := io.WriteString(c.conn, text+"\r\n"+string(q.Body)); err != nil {
		return Answer{}, err
	}
	sent := time.Now()
	c.rig.Logf("client %s: sent %s %s/%s id %s", c.name, method, q.Volume, q.Data, q.ID)
	c.conn.SetReadDeadline(sent.Add(40 * time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.rig.Logf("client %s: no answer to %s: %v", c.name, q.ID, err)
		return Answer{}, err
	}
	body, err := io.ReadAll(response.Body)
	a := Answer{Status: response.StatusCode, RetryAfter: response.Header.Get("Retry-After"), Body: body,
		Close: response.Close, Took: time.Since(sent)}
	c.rig.Logf("client %s: the answer to %s is %d, %d bytes, after %.3f s, error %v", c.name, q.ID, a.Status, len(body),
		a.Took.Seconds(), err)
	return a, err
}
