// Package discovery asks for the list of storage nodes and tells the core and the directory what it learns.
package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"reachpulley/internal/proto/httpmsg"
	"reachpulley/scheduler"
)

// News counts as told 6 s after a watch fell silent, and after discovery could be reached. In this time what is broken
// has to be noticed, the pauses of the decisions have to pass, and a call has to be answered.
const (
	silence  = 2500 * time.Millisecond // a watch that writes nothing for so long is broken: a line is due every 2 s
	patience = 2500 * time.Millisecond // for the head of an answer; discovery works through its calls one by one
	mostList = 1 << 20                 // bytes of one list
	dialTime = time.Second
)

// Client watches discovery. It owns the watch's connection, which ends when the watch does, with the context given to
// New, or when discovery moves.
type Client struct {
	ctx       context.Context
	zones     []string
	startedAt func(unixMilli int64) time.Duration
	tell      func(scheduler.Membership)
	log       *slog.Logger
	http      *http.Client
	directory Directory

	mu       sync.Mutex // held while a list is taken, so that lists reach the core in order
	at       place
	seq      int64
	wanted   bool // a watch was asked for at some time
	watching bool
	failing  string // what was logged of calls since the last list
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
	ResponseTimeout time.Duration                                                        // for the head of an answer; 0: as a discovery needs that works through its calls one by one
	Address         string                                                               // of discovery
	Zones           []string                                                             // as the settings name them
	StartedAt       func(unixMilli int64) time.Duration                                  // the core's clock
	Notify          func(scheduler.Membership)                                           // takes what is learned; it must not block
	Dial            func(ctx context.Context, network, address string) (net.Conn, error) // nil: the network
	Log             *slog.Logger
}

// New makes a Client whose calls end with ctx.
func New(ctx context.Context, o Options) *Client {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTime}).DialContext
	}
	// Every call has a connection of its own: a kept one that breaks would make the transport ask twice.
	transport := &http.Transport{DialContext: o.Dial, DisableKeepAlives: true, DisableCompression: true,
		ResponseHeaderTimeout: cmp.Or(o.ResponseTimeout, patience)}
	c := &Client{ctx: ctx, zones: o.Zones, startedAt: o.StartedAt, tell: o.Notify, log: o.Log,
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

// Seed takes the list that the gateway held in an earlier life.
func (c *Client) Seed(l *List) { c.take(c.ctx, l, scheduler.CachedList, 0) }

// MoveTo follows discovery to another address: the old watch ends, and the new address is watched at once. The list that
// is held stays until news comes.
func (c *Client) MoveTo(address string) {
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
		if at.ctx.Err() == nil { // else it was broken off here
			c.log.Log(c.ctx, c.severity(err), "discovery does not answer", "err", err)
			c.tell(scheduler.Membership{Kind: scheduler.WatchFailed})
		}
	}()
}

// severity is that of a fault in the log: it may come again with every call until discovery or its list is mended, and is told once.
func (c *Client) severity(fault error) slog.Level {
	c.mu.Lock()
	defer c.mu.Unlock()
	if before := c.failing; before == fault.Error() {
		return slog.LevelDebug
	}
	c.failing = fault.Error()
	return slog.LevelWarn
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
	heard := &hearing{Reader: body, alarm: alarm}
	lists := json.NewDecoder(heard) // a list may stretch over lines
	for {
		heard.left = mostList
		var text json.RawMessage
		if err := lists.Decode(&text); err != nil {
			return cmp.Or(context.Cause(ctx), err)
		}
		l, err := ParseList(text)
		if err != nil {
			return err
		}
		kind := scheduler.DeltaList
		if l.Whole {
			kind = scheduler.FullList
		}
		c.take(at.ctx, l, kind, seq)
	}
}

// hearing is what comes over a watch: whatever does, an empty line or a part of a list, shows that it lasts.
type hearing struct {
	io.Reader
	alarm *time.Timer
	left  int // bytes that the present list may still take
}

func (h *hearing) Read(p []byte) (int, error) {
	n, err := h.Reader.Read(p)
	if n > 0 {
		h.alarm.Reset(silence)
	}
	if h.left -= n; h.left < 0 {
		return 0, fmt.Errorf("a list is longer than %d bytes", mostList)
	}
	return n, err
}

// take passes a list on. One older than what is held would bring nodes back that have gone. But a watch whose whole
// list is older than the version it was asked from comes of a discovery that counts anew; were that dropped, nothing
// would be heard ever after.
// What came from an address that discovery has left is dropped, too: its call has ended.
func (c *Client) take(call context.Context, l *List, kind scheduler.MembershipKind, askedFrom int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	anew := l.Whole && l.Seq < askedFrom
	if call.Err() != nil || l.Seq < c.seq && !anew {
		return
	}
	c.seq, c.failing = l.Seq, ""
	c.directory.update(l.Whole, l.Hosts)
	c.tell(scheduler.Membership{Kind: kind, Nodes: l.nodes(c.zones, c.startedAt)})
}
