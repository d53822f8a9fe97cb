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
	"reachpulley/internal/httpmsg"
)

const (
	silence  = 3 * time.Second // a watch that writes no line for so long has ended: one is due every 2 s
	patience = 4 * time.Second // for the head of an answer; discovery works through its calls one by one
	mostList = 1 << 20         // bytes of one list
	dialTime = time.Second
)

// Client asks discovery. It owns the watch's connection, which ends when the watch does; a fetch's ends with
// its call. Both end with the context given to New.
type Client struct {
	ctx       context.Context
	address   string
	zones     []string
	startedAt func(unixMilli int64) time.Duration
	tell      func(decide.Membership)
	log       *slog.Logger
	http      *http.Client
	directory Directory

	mu       sync.Mutex // held while a list is taken, so that lists reach the core in order
	seq      int64
	watching bool
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
	return &Client{ctx: ctx, address: o.Address, zones: o.Zones, startedAt: o.StartedAt, tell: o.Tell, log: o.Log,
		http: &http.Client{Transport: transport}}
}

// Directory tells where the nodes are.
func (c *Client) Directory() *Directory { return &c.directory }

// Remember takes the list that the gateway held in an earlier life.
func (c *Client) Remember(l *List) { c.take(l, decide.Remembered, 0) }

// Watch subscribes to changes of the list; while a subscription lasts, it does nothing.
func (c *Client) Watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watching {
		return
	}
	c.watching = true
	held := c.seq
	go func() {
		err := c.watch(held)
		c.mu.Lock()
		c.watching = false
		c.mu.Unlock()
		c.refused("watch", err)
	}()
}

// Fetch asks for the whole list once.
func (c *Client) Fetch() {
	go func() {
		if err := c.fetch(); err != nil {
			c.refused("fetch", err)
		}
	}()
}

func (c *Client) refused(call string, err error) {
	if c.ctx.Err() != nil {
		return
	}
	c.log.Warn("discovery does not answer", "call", call, "err", err)
	c.tell(decide.Membership{Kind: decide.Refused})
}

// open sends a call; the caller closes the body.
func (c *Client) open(ctx context.Context, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+httpmsg.EndpointsPath+query, nil)
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

func (c *Client) fetch() error {
	ctx, cancel := context.WithTimeout(c.ctx, patience)
	defer cancel()
	body, err := c.open(ctx, "")
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
	c.take(l, decide.Whole, 0)
	return nil
}

// watch follows the list until the answer ends or falls silent.
func (c *Client) watch(seq int64) error {
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	body, err := c.open(ctx, "?stream=1&index="+strconv.FormatInt(seq, 10))
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
			c.take(l, decide.Whole, seq)
		} else {
			c.take(l, decide.Changes, seq)
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
func (c *Client) take(l *List, kind decide.ListKind, askedFrom int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	anew := l.Whole && l.Seq < askedFrom
	if l.Seq < c.seq && !anew {
		return
	}
	c.seq = l.Seq
	c.directory.update(l.Whole, l.Hosts)
	c.tell(decide.Membership{Kind: kind, Nodes: l.nodes(c.zones, c.startedAt)})
}
