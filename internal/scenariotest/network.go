package scenariotest

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// errConnectionRefused is the error of dialing an address without a listener.
var errConnectionRefused = errors.New("connection refused")

// Network is a network within the process. Its zero value is ready to use. In the code under test, Dial takes the place
// of the dial function of a net.Dialer.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	DialDelay   time.Duration // time that Dial takes
	OneWayDelay time.Duration // time that data and the end of a connection take to the other side
}

// Dial connects to the listener at an address. It fails if no listener has the address.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	if n.DialDelay > 0 {
		select {
		case <-time.After(n.DialDelay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errConnectionRefused
	}
	near, far := n.newConnection()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, errConnectionRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// newConnection returns both ends of a new connection.
func (n *Network) newConnection() (near, far net.Conn) {
	if n.OneWayDelay == 0 {
		return net.Pipe()
	}
	near, nearLink := net.Pipe()
	far, farLink := net.Pipe()
	go relay(farLink, nearLink, n.OneWayDelay)
	go relay(nearLink, farLink, n.OneWayDelay)
	return near, far
}

// maxSegments is the number of segments that may be under way between the two ends of a connection.
const maxSegments = 256

// segment is data under way between the two ends of a connection.
type segment struct {
	data      []byte
	arrivesAt time.Time
}

// relay passes on to one link what comes from another one, each piece after a delay. It closes the receiving link when
// the sending one has ended.
func relay(to, from net.Conn, delay time.Duration) {
	segments := make(chan segment, maxSegments)
	go func() {
		defer close(segments)
		for {
			buffer := make([]byte, 4096)
			n, err := from.Read(buffer)
			segments <- segment{buffer[:n], time.Now().Add(delay)}
			if err != nil {
				return
			}
		}
	}()
	for s := range segments {
		time.Sleep(time.Until(s.arrivesAt))
		to.Write(s.data) // fails once the receiver has closed its end
	}
	to.Close()
}

// Listen returns a new listener at an address.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{
		network: n,
		address: address,
		conns:   make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	n.listeners[address] = l
	return l
}

type listener struct {
	network   *Network
	address   string
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (a address) Network() string { return "tcp" }
func (a address) String() string  { return string(a) }
