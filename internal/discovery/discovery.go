// Package discovery asks for the list of storage nodes and tells the core and the directory what it learns.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"reachpulley/decide"
	"reachpulley/internal/proto/httpmsg"
)

const (
	silence  = 3 * time.Second // a watch that writes no line for so long has ended: one is due every 2 s
	patience = 4 * time.Second // for the head of an answer; discovery works through its calls one by one
	mostList = 1 << 20         // bytes of one list
	dialTime = time.Second
)

// Client asks discovery. It owns the watch's connection, which ends when the watch does; a fetch's ends with
// its call. Both end with the context given to New, or when discovery moves.
type Client struct {
	ctx       context.Context
	zones     []string
	startedAt func(unixMilli int64) time.Duration
	tell      func(decide.Membership)
	log       *slog.Logger
	http      *http.Client
	directory Directory

	mu       sync.Mutex // held while a list is taken, so that lists reach the core in order
	at       place
	seq      int64
	wanted   bool // a watch was asked for at some time
	watching bool
}

// place is where discovery is. The calls to it end with its context: what they still bring, a list or a refusal,
// counts no more.
type place struct {
	address string
	ctx     context.Context
	leave   context.CancelFunc
}

// Options are what a Client needs.
type Options struct {
	Address   string                                                               // of discovery
	Zones     []string                                                             // as the settings name them
	StartedAt func(unixMilli int64) time.Duration                                  // the core's clock
	Tell      func(decide.Membership)                                              // takes what is learned; it must not block
	Dial      func(ctx context.Context, network, address string) (net.Conn, error) // nil: the network
	Log       *slog.Logger
}

// New makes a Client whose calls end with ctx.
func New(ctx context.Context, o Options) *Client {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTime}).DialContext
	}
	// Every call has a connection of its own: a kept one that breaks would make the transport ask twice.
	transport := &http.Transport{DialContext: o.Dial, DisableKeepAlives: true, DisableCompression: true,
		ResponseHeaderTimeout: patience}
	c := &Client{ctx: ctx, zones: o.Zones, startedAt: o.StartedAt, tell: o.Tell, log: o.Log,
		http: &http.Client{Transport: transport}}
	c.goTo(o.Address)
	return c
}

// goTo makes an address the present one. The version that is held means nothing there: each discovery counts its own.
func (c *Client) goTo(address string) {
	at := place{address: address}
	at.ctx, at.leave = context.WithCancel(c.ctx)
	c.at, c.seq = at, 0
}

// Directory tells where the nodes are.
func (c *Client) Directory() *Directory { return &c.directory }

// Remember takes the list that the gateway held in an earlier life.
func (c *Client) Remember(l *List) { c.take(c.ctx, l, decide.Remembered, 0) }

// Move follows discovery to another address: the old watch ends, and the new address is watched and asked for the
// whole list at once. The list that is held stays until news comes.
func (c *Client) Move(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.at.address {
		return
	}
	c.log.Info("discovery has moved", "from", c.at.address, "to", address)
	c.at.leave()
	c.goTo(address)
	if c.wanted {
		c.subscribe()
	}
	at := c.at
	go func() {
		// The watch tells of a discovery that does not answer; a second word of it would only double the wait.
		if err := c.fetch(at); err != nil && at.ctx.Err() == nil {
			c.log.Warn("discovery does not answer", "call", "fetch", "err", err)
		}
	}()
}

// Watch subscribes to changes of the list; while a subscription lasts, it does nothing.
func (c *Client) Watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wanted = true
	if !c.watching {
		c.subscribe()
	}
}

// subscribe starts a watch at the present address. It is called with mu held.
func (c *Client) subscribe() {
	c.watching = true
	at, held := c.at, c.seq
	go func() {
		err := c.watch(at, held)
		c.mu.Lock()
		if at.ctx.Err() == nil { // else the subscription is another's by now
			c.watching = false
		}
		c.mu.Unlock()
		c.refused(at, "watch", err)
	}()
}

// Fetch asks for the whole list once.
func (c *Client) Fetch() {
	c.mu.Lock()
	at := c.at
	c.mu.Unlock()
	go func() {
		if err := c.fetch(at); err != nil {
			c.refused(at, "fetch", err)
		}
	}()
}

// refused tells that a call has failed, unless it was broken off here.
func (c *Client) refused(at place, call string, err error) {
	if at.ctx.Err() != nil {
		return
	}
	c.log.Warn("discovery does not answer", "call", call, "err", err)
	c.tell(decide.Membership{Kind: decide.Refused})
}

// open sends a call; the caller closes the body.
func (c *Client) open(ctx context.Context, address, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+httpmsg.EndpointsPath+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return resp.Body, nil
}

func (c *Client) fetch(at place) error {
	ctx, cancel := context.WithTimeout(at.ctx, patience)
	defer cancel()
	body, err := c.open(ctx, at.address, "")
	if err != nil {
		return err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, mostList))
	if err != nil {
		return err
	}
	l, err := ParseList(text)
	if err != nil {
		return err
	}
	c.take(at.ctx, l, decide.Whole, 0)
	return nil
}

// watch follows the list until the answer ends or falls silent.
func (c *Client) watch(at place, seq int64) error {
	ctx, cancel := context.WithCancelCause(at.ctx)
	defer cancel(nil)
	body, err := c.open(ctx, at.address, "?stream=1&index="+strconv.FormatInt(seq, 10))
	if err != nil {
		return err
	}
	defer body.Close()
	// A machine that is cut off leaves the connection open and says nothing.
	alarm := time.AfterFunc(silence, func() { cancel(errors.New("the watch fell silent")) })
	defer alarm.Stop()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, mostList)
	for lines.Scan() {
		alarm.Reset(silence)
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		l, err := ParseList(text)
		if err != nil {
			return err
		}
		if l.Whole {
			c.take(at.ctx, l, decide.Whole, seq)
		} else {
			c.take(at.ctx, l, decide.Changes, seq)
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// take passes a list on. One older than what is held is a fetch that a watch has overtaken, or the other way
// round: it would bring nodes back that have gone. But a watch whose whole list is older than the version it was
// asked from comes of a discovery that counts anew; were that dropped, nothing would be heard ever after.
// What came from an address that discovery has left is dropped, too: its call has ended.
func (c *Client) take(call context.Context, l *List, kind decide.ListKind, askedFrom int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	anew := l.Whole && l.Seq < askedFrom
	if call.Err() != nil || l.Seq < c.seq && !anew {
		return
	}
	c.seq = l.Seq
	c.directory.update(l.Whole, l.Hosts)
	c.tell(decide.Membership{Kind: kind, Nodes: l.nodes(c.zones, c.startedAt)})
}
