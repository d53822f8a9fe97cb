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

// The gateway must follow changes of the list again at the latest 6 s after a watch fell silent or discovery became
// reachable. Within this time it must notice that the watch is broken, wait for the scheduler's backoff, and get a
// response to the next call.
const (
	watchIdleTimeout = 2500 * time.Millisecond // discovery writes a line at least every 2 s
	// defaultResponseTimeout is this long because discovery handles its calls one after another.
	defaultResponseTimeout = 2500 * time.Millisecond
	dialTimeout            = time.Second
)

// Client watches discovery and reports the lists that it receives. It owns the connection of the watch, which is closed
// when the watch ends, when the context given to [New] ends, or when discovery moves to another address.
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
	seq            int64 // version of the current list, from which a watch continues; 0: none
	watchRequested bool  // Watch has been called at least once
	watching       bool
	hasList        bool         // a list has been applied
	maintenance    *maintenance // nodes that operators have taken offline; nil: maintenance is off
	loggedFault    string       // text of the last fault that was logged as a warning; empty again after a list
}

// source is an address of discovery. The calls to it end with its context. A list or an error that a call returns after
// that is ignored.
type source struct {
	address string
	ctx     context.Context
	cancel  context.CancelFunc
}

// Options configure a [Client].
type Options struct {
	Address string   // host and port of discovery
	Zones   []string // the zones' names, in the order of the settings

	// ResponseTimeout bounds the wait for the head of a response. 0: defaultResponseTimeout, which is long enough for a
	// discovery that handles its calls one after another.
	ResponseTimeout time.Duration

	// ClockTime converts a Unix time in milliseconds to the event loop's clock.
	ClockTime func(unixMilli int64) time.Duration

	// Maintenance makes the methods available by which operators take nodes offline.
	Maintenance bool

	// Notify receives each change of the membership, and the failure of a watch. It must not block.
	Notify func(scheduler.Membership)

	Dial func(ctx context.Context, network, address string) (net.Conn, error) // nil: DialContext of a net.Dialer
	Log  *slog.Logger
}

// New returns a Client whose calls end with ctx.
func New(ctx context.Context, options Options) *Client {
	dial := options.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext: dial,
		// Every call has its own connection: when a reused one breaks, http.Transport silently repeats the call.
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
	if options.Maintenance {
		c.maintenance = newMaintenance()
	}
	c.setSource(options.Address)
	return c
}

// setSource sets the address to watch. It resets the version of the current list, as each discovery counts its own
// versions. The caller holds mu, except in New.
func (c *Client) setSource(address string) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.source = source{address: address, ctx: ctx, cancel: cancel}
	c.seq = 0
}

// Directory returns the directory of node addresses, which the Client keeps up to date.
func (c *Client) Directory() *Directory { return &c.directory }

// ApplyCachedList applies the list of nodes that the configuration keeps from before a restart of the gateway.
func (c *Client) ApplyCachedList(list *List) { c.apply(c.ctx, list, scheduler.CachedList, 0) }

// MoveTo switches to another address of discovery: it ends the old watch and, if Watch has been called before, watches
// the new address at once. The current list stays in force until a new one arrives.
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

// Watch subscribes to the list and its changes, unless a subscription is active. It does not block.
func (c *Client) Watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchRequested = true
	if !c.watching {
		c.subscribe()
	}
}

// subscribe starts a watch of the current source. The caller holds mu.
func (c *Client) subscribe() {
	c.watching = true
	from, seq := c.source, c.seq
	go func() {
		err := c.watch(from, seq)
		c.watchEnded(from, err)
	}()
}

// watchEnded reports the end of a watch, unless the Client itself ended it. The scheduler decides when to call Watch
// again.
func (c *Client) watchEnded(from source, err error) {
	c.mu.Lock()
	// The context of a source is canceled when the client moves to another source, or ends. After a move, c.watching
	// belongs to the watch of the new source.
	if from.ctx.Err() == nil {
		c.watching = false
	}
	c.mu.Unlock()
	if from.ctx.Err() == nil {
		c.log.Log(c.ctx, c.faultLevel(err), "discovery watch failed", "err", err)
		c.notify(scheduler.Membership{Kind: scheduler.WatchFailed})
	}
}

// faultLevel returns the level at which to log a fault. The same fault may recur with every call until discovery or its
// list is repaired, so a fault is a warning only if it differs from the last one or a list has been applied since.
func (c *Client) faultLevel(fault error) slog.Level {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loggedFault == fault.Error() {
		return slog.LevelDebug
	}
	c.loggedFault = fault.Error()
	return slog.LevelWarn
}

// apply updates the directory with a list that a call received and reports the list. requestedFrom is the version from
// which the call requested changes. call is the context of the call; once it has ended, the list is dropped.
//
// A list older than the current one is dropped, as it would bring back nodes that have been removed. The exception is a
// whole list older than requestedFrom: discovery has restarted its count of versions, and if this list were dropped, no
// later one would be accepted either. A list from an address that is no longer watched is dropped too.
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
	c.hasList = true
	c.loggedFault = ""
	if c.maintenance != nil {
		list = c.maintenance.update(list)
	}
	c.directory.update(list)
	c.notify(scheduler.Membership{Kind: kind, Nodes: list.nodes(c.zones, c.clockTime)})
}
