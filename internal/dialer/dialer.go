// Package dialer opens connections to nodes, and tells a lack of resources of this machine from a fault of a node.
package dialer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Func opens a connection, as [net.Dialer.DialContext] does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// ErrNoResources means that this machine could not open a connection. The node has seen nothing of the attempt.
var ErrNoResources = errors.New("this machine lacks the resources for a connection")

// retryDelay is the pause after an error of this machine.
const retryDelay = 5 * time.Millisecond

// Retry returns a Func that tries again as long as this machine lacks the resources for a connection. At the end of its
// context it then returns ErrNoResources. If dial is nil, it opens connections to the real network.
func Retry(dial Func) Func {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		for {
			conn, err := dial(ctx, network, address)
			if !isLocal(err) {
				return conn, err
			}
			select {
			case <-time.After(retryDelay):
			case <-ctx.Done():
				return nil, errors.Join(ErrNoResources, err)
			}
		}
	}
}

// isLocal reports whether an error of opening a connection is a lack of resources of this machine, which will pass.
func isLocal(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN:
		return true
	}
	return false
}
