package stage

import (
	"net"
	"time"
)

// Delay is a proxy that hands on all bytes after a fixed time, in both directions, as a network does.
type Delay struct {
	Address string

	listener net.Listener
	target   string
	oneWay   time.Duration
}

// NewDelay starts a proxy in front of the target.
func NewDelay(target string, oneWay time.Duration) (*Delay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Delay{Address: l.Addr().String(), listener: l, target: target, oneWay: oneWay}
	go d.accept()
	return d, nil
}

// Close ends the proxy for new connections.
func (d *Delay) Close() { d.listener.Close() }

func (d *Delay) accept() {
	for {
		near, err := d.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			far, err := net.Dial("tcp", d.target)
			if err != nil {
				near.Close()
				return
			}
			go d.pass(near, far)
			d.pass(far, near)
		}()
	}
}

// piece is what one read returned.
type piece struct {
	data []byte
	due  time.Time
}

// pass hands on what it reads from one side, and at last the end.
func (d *Delay) pass(from, to net.Conn) {
	pieces := make(chan piece, 1024)
	go func() {
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			if len(p.data) == 0 {
				to.Close()
				continue
			}
			to.Write(p.data)
		}
	}()
	defer close(pieces)
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			pieces <- piece{append([]byte(nil), buffer[:n]...), time.Now().Add(d.oneWay)}
		}
		if err != nil {
			pieces <- piece{nil, time.Now().Add(d.oneWay)}
			return
		}
	}
}
