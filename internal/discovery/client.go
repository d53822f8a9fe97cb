// Package discovery subscribes to the list of storage nodes and reports its changes to the event loop and to the
// [Directory].
package discovery

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"reachpulley/scheduler"
)

// A change of the list counts as announced 6 s after a watch fell silent, and 6 s after discovery became reachable:
// from then on the gateway is held to it. Within this time the broken watch has to be noticed, the scheduler's
// backoff has to pass, and the next call has to be answered.
const (
	watchIdleTimeout = 2500 * time.Millisecond // discovery writes a line at least every 2 s
	// Discovery works through its calls one by one.
	defaultResponseTimeout = 2500 * time.Millisecond
	dialTimeout            = time.Second
)

// Client watches discovery and passes on what it receives. It owns the watch's connection, which ends with the watch,
// with the context given to [New], or when discovery moves to another address.
type Client struct {
	ctx        context.Context
	zones      []string
	clockTime  func(unixMilli int64) time.Duration
	notify     func(scheduler.Membership)
	log        *slog.Logger
	httpClient *http.Client
	directory  Directory

	mu             sync.Mutex // held while a list is applied, so that lists reach the event loop in order
	source         source
	seq            int64 // version of the list that is held
	watchRequested bool  // Watch has been called at least once
	watching       bool
	loggedFault    string // the last fault that was logged since the last list
}

// source is an address of discovery. The calls to it end with its context: what they still bring after that, a list or
// an error, is ignored.
type source struct {
	address string
	ctx     context.Context
	cancel  context.CancelFunc
}

// Options are what a [Client] needs.
type Options struct {
	Address string   // of discovery
	Zones   []string // names, in the order of the settings

	// ResponseTimeout bounds the wait for the head of a response. 0: long enough for a discovery that works through its
	// calls one by one.
	ResponseTimeout time.Duration

	// ClockTime converts a time of the wall clock to the event loop's clock.
	ClockTime func(unixMilli int64) time.Duration

	// Notify receives each change of the membership. It must not block.
	Notify func(scheduler.Membership)

	Dial func(ctx context.Context, network, address string) (net.Conn, error) // nil: the network
	Log  *slog.Logger
}

// New makes a Client whose calls end with ctx.
func New(ctx context.Context, options Options) *Client {
	dial := options.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext: dial,
		// Every call has its own connection: http.Transport would silently retry a call on a reused one that breaks.
		DisableKeepAlives:     true,
		DisableCompression:    true,
		ResponseHeaderTimeout: cmp.Or(options.ResponseTimeout, defaultResponseTimeout),
	}
	c := &Client{
		ctx:        ctx,
		zones:      options.Zones,
		clockTime:  options.ClockTime,
		notify:     options.Notify,
		log:        options.Log,
		httpClient: &http.Client{Transport: transport},
	}
	c.setSource(options.Address)
	return c
}

// setSource makes address the one that is watched. It forgets the version that is held, as each discovery counts its
// own. Except in New it is called with mu held.
func (c *Client) setSource(address string) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.source = source{address: address, ctx: ctx, cancel: cancel}
	c.seq = 0
}

// Directory returns the directory of node addresses, which the Client keeps up to date.
func (c *Client) Directory() *Directory { return &c.directory }

// Seed applies the list that the configuration holds from a previous incarnation of the gateway.
func (c *Client) Seed(list *List) { c.apply(c.ctx, list, scheduler.CachedList, 0) }

// MoveTo switches to another address of discovery: the old watch ends, and the new address is watched at once. The list
// that is held stays in force until a new one arrives.
func (c *Client) MoveTo(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.source.address {
		return
	}
	c.log.Info("discovery address changed", "from", c.source.address, "to", address)
	c.source.cancel()
	c.setSource(address)
	if c.watchRequested {
		c.subscribe()
	}
}

// Watch subscribes to changes of the list. It does nothing while a subscription lasts, and does not block.
func (c *Client) Watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchRequested = true
	if !c.watching {
		c.subscribe()
	}
}

// subscribe starts a watch of the current source. It is called with mu held.
func (c *Client) subscribe() {
	c.watching = true
	from, seq := c.source, c.seq
	go func() {
		err := c.watch(from, seq)
		c.watchEnded(from, err)
	}()
}

// watchEnded reports the end of a watch, unless the Client itself has ended it. The scheduler decides when Watch is
// called next.
func (c *Client) watchEnded(from source, err error) {
	c.mu.Lock()
	if from.ctx.Err() == nil { // otherwise another watch may have begun
		c.watching = false
	}
	c.mu.Unlock()
	if from.ctx.Err() == nil {
		c.log.Log(c.ctx, c.faultLevel(err), "discovery watch failed", "err", err)
		c.notify(scheduler.Membership{Kind: scheduler.WatchFailed})
	}
}

// faultLevel returns the level at which to log a fault. The same fault may recur with every call until discovery or its
// list is repaired, so it is a warning only once.
func (c *Client) faultLevel(fault error) slog.Level {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loggedFault == fault.Error() {
		return slog.LevelDebug
	}
	c.loggedFault = fault.Error()
	return slog.LevelWarn
}

// apply takes over a list that the call brought and reports it. requestedFrom is the version from which the call asked
// for changes.
//
// A list older than the one held is dropped, as it would bring back nodes that have been removed. The exception is a
// whole list older than requestedFrom: it comes from a discovery that has restarted its count, and if it were dropped,
// no later one would be accepted either. A list from an address that the Client has left is dropped too.
func (c *Client) apply(call context.Context, list *List, kind scheduler.MembershipKind, requestedFrom int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.Err() != nil {
		return
	}
	countRestarted := list.Whole && list.Seq < requestedFrom
	if list.Seq < c.seq && !countRestarted {
		return
	}
	c.seq = list.Seq
	c.loggedFault = ""
	c.directory.update(list)
	c.notify(scheduler.Membership{Kind: kind, Nodes: list.nodes(c.zones, c.clockTime)})
}
