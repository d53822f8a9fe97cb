// Package registry holds the descriptions that are in force, and counts what they do not describe. It is for many goroutines; what is decided, packages
// book and limits decide.
package registry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"reachpulley/internal/contract"
	"reachpulley/internal/contract/catalog"
	"reachpulley/internal/ratelimit"
)

// Options say what is done with calls that nothing describes.
type Options struct {
	RejectUndescribed bool    // they are refused; otherwise they are taken with the most care
	Rate              float64 // of them a second that are taken; 0: no limit
	Burst             float64 // and at once
	Open              int     // that may be open; 0: no limit
}

const (
	reportEvery = time.Minute
	samples     = 5  // calls that nothing describes, logged at once
	mostSample  = 96 // bytes of a path in a sample
)

// Registry are in force from one Swap to the next.
type Registry struct {
	log     *slog.Logger
	current atomic.Pointer[catalog.Catalog]
	clock   func() time.Duration
	options Options

	mu          sync.Mutex // for what is below
	limiter     *ratelimit.Limiter
	undescribed int // since the last report
	limited     int
	sample      rate.Sometimes
	last        string
}

// New makes Contracts without any description.
func New(o Options, log *slog.Logger) (*Registry, error) {
	began := time.Now()
	c := &Registry{log: log, options: o, clock: func() time.Duration { return time.Since(began) },
		sample: rate.Sometimes{First: samples, Interval: reportEvery}}
	var defs []ratelimit.Definition
	if o.Rate > 0 || o.Open > 0 {
		defs = []ratelimit.Definition{{Name: catalog.UndescribedName, Rate: o.Rate, Burst: max(1, o.Burst), Open: o.Open, Keys: ratelimit.MinKeys}}
	}
	var err error
	c.limiter, err = ratelimit.New(defs)
	return c, err
}

// Swap puts a book in force, whole; nil: none. Requests under way keep theirs.
func (c *Registry) Swap(b *catalog.Catalog, refuse bool) {
	c.mu.Lock()
	c.options.RejectUndescribed = refuse
	c.mu.Unlock()
	old := c.current.Swap(b)
	if b != nil && b != old {
		c.log.Info("contracts in force", "operations", len(b.Entries()), "classes", len(b.GeneratedClasses))
	}
}

// InForce tells whether there are descriptions.
func (c *Registry) InForce() bool { return c != nil && c.current.Load() != nil }

// Match is what descriptions say of one request. End gives back what it holds; a nil Said has nothing.
type Match struct {
	*catalog.Entry
	Call       contract.Call
	Parameters []string
	home       *Registry
	grant      ratelimit.Grant
	taken      bool
}

// ErrUndescribed says that a call is refused since nothing describes it.
var ErrUndescribed = errors.New("no description has this operation")

// RateLimitedError says that too many calls come that nothing describes.
type RateLimitedError struct{ RetryAfter time.Duration }

// Error tells of it.
func (l RateLimitedError) Error() string {
	return "too many requests of operations that no description has"
}

// Begin takes a request; nil where no descriptions are in force. The error is ErrUndescribed or a Limited. The request must be ended in either case.
func (c *Registry) Begin(call contract.Call) (*Match, error) {
	if c == nil {
		return nil, nil
	}
	b := c.current.Load()
	if b == nil {
		return nil, nil
	}
	s := &Match{Call: call, home: c}
	if s.Entry, s.Parameters = b.Lookup(&s.Call, nil); s.Operation != nil {
		return s, nil
	}
	return s, c.careful(s)
}

// Command gives what descriptions say of a READ or WRITE of the second front; nil where they say nothing of it.
func (c *Registry) Command(lun int, write bool) *catalog.Entry {
	if c == nil {
		return nil
	}
	b := c.current.Load()
	if b == nil {
		return nil
	}
	e := b.Command(lun, write)
	if e != nil && e.Operation == nil {
		c.mu.Lock()
		c.undescribed++
		c.last = fmt.Sprintf("iscsi lun %d, write %v", lun, write)
		c.mu.Unlock()
	}
	return e
}

// careful counts a call that nothing describes, and asks whether it may be taken.
func (c *Registry) careful(s *Match) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.undescribed++
	c.last = s.Call.Method + " " + s.Call.Path[:min(len(s.Call.Path), mostSample)]
	c.sample.Do(func() {
		c.log.Warn("no description has an operation that is called", "method", s.Call.Method, "path", s.Call.Path[:min(len(s.Call.Path), mostSample)], "host", s.Call.Host)
	})
	if c.options.RejectUndescribed {
		return ErrUndescribed
	}
	if c.options.Rate == 0 && c.options.Open == 0 {
		return nil
	}
	v := c.limiter.Take(c.clock(), []ratelimit.Claim{{Limit: 0, Key: catalog.UndescribedName}})
	if !v.Admitted {
		c.limited++
		return RateLimitedError{v.RetryAfter}
	}
	s.grant, s.taken = v.Grant, true
	return nil
}

// Release gives back what the request holds. It is called once, when the request is answered or its client has left.
func (s *Match) Release() {
	if s != nil && s.taken {
		s.home.mu.Lock()
		s.home.limiter.Release(s.grant)
		s.home.mu.Unlock()
	}
}

// Counts gives how many calls nothing described, and how many of them were over their limit, since the last call.
func (c *Registry) Counts() (undescribed, limited int, last string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	undescribed, limited, last = c.undescribed, c.limited, c.last
	c.undescribed, c.limited = 0, 0
	return undescribed, limited, last
}

// Run logs the counts every minute in which there are any, until ctx ends.
func (c *Registry) Run(ctx context.Context) {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if n, limited, last := c.Counts(); n > 0 {
				c.log.Warn("calls that no description has", "calls", n, "over_the_limit", limited, "last", last, "handled", c.handling())
			}
		}
	}
}

func (c *Registry) handling() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.options.RejectUndescribed {
		return "refused"
	}
	return fmt.Sprintf("never repeated, %v a second", c.options.Rate)
}
