package h2frontend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"reachpulley/internal/admission"
	"reachpulley/internal/proto/httpmsg"
)

const (
	streamWindow = httpmsg.MaxRequestBody // of each stream: a body that is allowed never waits for more
	connWindow   = 4 * streamWindow       // bytes of bodies that may be on their way in at a time
	startWindow  = 64<<10 - 1             // RFC 9113, section 6.9.2
	mostWindow   = 1<<31 - 1
	mostQueued   = 512 // frames that wait to be written besides answers
	headerTable  = 4 << 10
)

// conn is a connection. Its reading goroutine owns the framer's reading side, its writing goroutine the writing side.
type conn struct {
	server *Server
	net    net.Conn
	id     admission.ConnectionID
	client string
	in     *bufio.Reader
	framer *http2.Framer
	out    *bufio.Writer
	ctx    context.Context // ends with the connection
	cancel context.CancelFunc
	wait   sync.WaitGroup // the writer, and streams at the core

	mu      sync.Mutex
	wake    *sync.Cond
	streams map[uint32]*stream
	newest  uint32 // highest stream seen
	taken   uint32 // highest stream that is answered, once the second GOAWAY is out
	control []func() error
	window  int64 // for what is written
	initial int64 // window of the client's new streams
	frame   int   // longest that the client takes
	credit  int   // bytes of bodies that the client may still send
	leaving time.Time
	final   bool // the second GOAWAY is out
	ended   bool
	spoken  bool // SETTINGS are out: the client has said its preface
	idle    time.Time
	coming  int  // bytes of bodies that are not whole
	owed    int  // bytes that the client may send once fewer are
	flooded bool // too many frames waited to be written
	paying  bool // a WINDOW_UPDATE for what is owed waits to be written
	turn    uint64

	encoder *hpack.Encoder // the writer's
	block   bytes.Buffer
}

func newConn(s *Server, nc net.Conn, id admission.ConnectionID) *conn {
	c := &conn{server: s, net: nc, id: id, client: nc.RemoteAddr().String(), streams: map[uint32]*stream{}, window: startWindow,
		initial: startWindow, frame: 16 << 10, credit: connWindow, idle: time.Now(), out: bufio.NewWriterSize(nc, 8<<10)}
	if host, _, err := net.SplitHostPort(c.client); err == nil {
		c.client = host
	}
	c.in = bufio.NewReaderSize(nc, 4<<10)
	c.framer = http2.NewFramer(c.out, c.in)
	c.wake = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.encoder = hpack.NewEncoder(&c.block)
	return c
}

// serve reads the connection until it ends, and gives back all that it had.
func (c *conn) serve() {
	c.wait.Go(c.write)
	code, why := c.read()
	c.mu.Lock()
	if code != http2.ErrCodeNo {
		newest := c.newest
		c.control = append(c.control, func() error { return c.framer.WriteGoAway(newest, code, []byte(why)) })
	}
	c.ended = true
	c.wake.Broadcast()
	c.mu.Unlock()
	c.cancel() // every stream's client has left
	c.wait.Wait()
	c.net.Close()
	c.server.leave(c)
}

// wrongPort answers clients that speak HTTP/1, or ask to be upgraded from it.
var wrongPort = func() string {
	const why = "This port speaks HTTP/2 with prior knowledge, neither HTTP/1 nor an upgrade from it.\n"
	return fmt.Sprintf("HTTP/1.1 505 HTTP Version Not Supported\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n"+
		"Content-Length: %d\r\n\r\n%s", len(why), why)
}()

// read takes frames until the connection ends; the code says what is wrong with it.
func (c *conn) read() (code http2.ErrCode, why string) {
	c.net.SetReadDeadline(time.Now().Add(requestTime))
	preface := make([]byte, len(http2.ClientPreface))
	if n, err := io.ReadFull(c.in, preface); err != nil || string(preface) != http2.ClientPreface {
		if strings.Contains(string(preface[:n]), "HTTP/1") || n > 3 && strings.HasPrefix("GET PUT POST", string(preface[:3])) {
			c.mu.Lock()
			c.control = append(c.control, func() error { _, err := c.out.WriteString(wrongPort); return err })
			c.mu.Unlock()
		}
		return http2.ErrCodeNo, ""
	}
	c.framer.ReadMetaHeaders = hpack.NewDecoder(headerTable, nil)
	c.framer.MaxHeaderListSize = uint32(c.server.MaxHeaderBytes)
	c.framer.SetMaxReadFrameSize(16 << 10)
	c.mu.Lock()
	c.spoken = true
	c.queueLocked(func() error {
		return errors.Join(c.framer.WriteSettings(
			http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(c.server.Admission.Streams)},
			http2.Setting{ID: http2.SettingInitialWindowSize, Val: streamWindow},
			http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: uint32(c.server.MaxHeaderBytes)},
			http2.Setting{ID: http2.SettingEnablePush, Val: 0}), c.framer.WriteWindowUpdate(0, connWindow-startWindow))
	})
	c.mu.Unlock()
	first := true
	for {
		// A frame that has begun has to end, or a field section without end would hold the connection.
		if !first {
			c.net.SetReadDeadline(time.Time{})
		}
		if _, err := c.in.Peek(1); err != nil {
			return http2.ErrCodeNo, ""
		}
		c.net.SetReadDeadline(time.Now().Add(requestTime))
		f, err := c.framer.ReadFrame()
		if err == nil && first {
			if s, ok := f.(*http2.SettingsFrame); !ok || s.IsAck() {
				return http2.ErrCodeProtocol, "the first frame is not SETTINGS"
			}
		}
		if err == nil {
			err = c.take(f, first)
		}
		first = false
		var stream http2.StreamError
		var connection http2.ConnectionError
		var fault *connFault
		switch {
		case err == nil:
		case errors.As(err, &stream):
			c.reset(stream.StreamID, stream.Code)
		case errors.As(err, &fault):
			return fault.code, fault.why
		case errors.As(err, &connection):
			return http2.ErrCode(connection), ""
		case errors.Is(err, http2.ErrFrameTooLarge):
			return http2.ErrCodeFrameSize, "a frame is longer than SETTINGS allow"
		default:
			return http2.ErrCodeNo, ""
		}
	}
}

// connFault ends a connection with a reason.
type connFault struct {
	code http2.ErrCode
	why  string
}

func (f *connFault) Error() string { return f.why }

// queue has the writer write a frame. More than a client can honestly have caused end the connection.
func (c *conn) queue(write func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queueLocked(write)
}

func (c *conn) queueLocked(write func() error) {
	if c.flooded {
		return
	}
	if len(c.control) >= mostQueued { // the client makes us say more than it reads: it is told so in place of all that, and cut
		c.flooded = true
		newest := c.newest
		c.control = append(c.control[:0], func() error {
			return errors.Join(c.framer.WriteGoAway(newest, http2.ErrCodeEnhanceYourCalm, []byte("frames that ask for frames")), errCut)
		})
		c.wake.Signal()
		return
	}
	c.control = append(c.control, write)
	c.wake.Signal()
}

// blame counts an offence.
func (c *conn) blame(o admission.Violation) {
	c.server.decide(func(a *admission.Controller, now time.Duration) []admission.Action {
		return a.RecordViolation(now, c.id, o)
	})
}

// take takes a frame.
func (c *conn) take(f http2.Frame, first bool) error {
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		return c.headers(f)
	case *http2.DataFrame:
		return c.data(f)
	case *http2.SettingsFrame:
		if !first && !f.IsAck() {
			c.blame(admission.SettingsChange)
		}
		return c.settings(f)
	case *http2.PingFrame:
		if !f.IsAck() {
			data := f.Data
			c.queue(func() error { return c.framer.WritePing(true, data) })
			c.blame(admission.UnsolicitedPing)
		}
	case *http2.WindowUpdateFrame:
		return c.windowUpdate(f)
	case *http2.RSTStreamFrame:
		return c.resetByClient(f.StreamID)
	case *http2.PriorityFrame:
		c.blame(admission.PriorityChange)
	case *http2.PriorityUpdateFrame: // RFC 9218, section 7.1; of a stream that is not there (yet) it is let go
		c.blame(admission.PriorityChange)
		c.mu.Lock()
		if st := c.streams[f.PrioritizedStreamID]; st != nil {
			st.urgency = urgencyOf(f.Priority)
			c.wake.Signal()
		}
		c.mu.Unlock()
	case *http2.PushPromiseFrame:
		return &connFault{http2.ErrCodeProtocol, "clients don't push"}
	}
	return nil // GOAWAY: the client ends by itself; unknown frames are ignored (RFC 9113, section 5.5)
}

// settings applies the client's settings (RFC 9113, section 6.5).
func (c *conn) settings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	err := f.ForeachSetting(func(s http2.Setting) error {
		if err := s.Valid(); err != nil {
			return err
		}
		switch s.ID {
		case http2.SettingInitialWindowSize:
			change := int64(s.Val) - c.initial
			c.initial = int64(s.Val)
			for _, st := range c.streams {
				if st.window += change; st.window > mostWindow {
					return &connFault{http2.ErrCodeFlowControl, "a window is too large"}
				}
			}
		case http2.SettingMaxFrameSize:
			c.frame = int(s.Val)
		case http2.SettingHeaderTableSize:
			table := min(s.Val, headerTable)
			c.control = append(c.control, func() error { c.encoder.SetMaxDynamicTableSize(table); return nil })
		}
		return nil
	})
	c.queueLocked(func() error { return c.framer.WriteSettingsAck() })
	return err
}

// tinyUpdate is a raise of a window that moves next to nothing.
const tinyUpdate = 64

func (c *conn) windowUpdate(f *http2.WindowUpdateFrame) error {
	if f.Increment < tinyUpdate {
		c.blame(admission.SmallWindowUpdate)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.wake.Signal()
	if f.StreamID == 0 {
		if c.window += int64(f.Increment); c.window > mostWindow {
			return &connFault{http2.ErrCodeFlowControl, "the connection's window is too large"}
		}
		return nil
	}
	st := c.streams[f.StreamID]
	switch {
	case st == nil && f.StreamID > c.newest:
		return &connFault{http2.ErrCodeProtocol, "WINDOW_UPDATE on an idle stream"}
	case st == nil: // it has ended in the meantime
		return nil
	}
	if st.window += int64(f.Increment); st.window > mostWindow {
		return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeFlowControl}
	}
	return nil
}

// tick does what time brings to a connection.
func (c *conn) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, st := range c.streams {
		if !st.whole && now.Sub(st.began) >= requestTime && !st.answering {
			c.dropLocked(st, http2.ErrCodeCancel) // the request does not come
		}
	}
	switch {
	case !c.leaving.IsZero() && !c.final && now.Sub(c.leaving) >= lastCall:
		c.final, c.taken = true, c.newest
		taken := c.taken
		c.queueLocked(func() error { return c.framer.WriteGoAway(taken, http2.ErrCodeNo, nil) })
	case len(c.streams) == 0 && now.Sub(c.idle) >= idleTime:
		c.net.Close()
	}
	if c.final && len(c.streams) == 0 {
		c.ended = true // the writer writes what is left and closes the connection
		c.wake.Broadcast()
	}
}

// act carries out what the admission calls for. The server's lock is held.
func (c *conn) act(a admission.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.streams[uint32(a.Stream)]
	if !c.spoken && st == nil { // before the preface there is nobody to tell
		if a.Kind == admission.GoAway || a.Kind == admission.CloseConnection {
			c.net.Close()
		}
		return
	}
	switch a.Kind {
	case admission.StartStream:
		if st != nil && !c.ended { // of a connection that has ended nobody wants an answer; Gone follows
			c.wait.Go(func() { c.perform(st) })
		}
	case admission.RejectStream:
		if st != nil {
			c.dropLocked(st, http2.ErrCodeRefusedStream)
		}
	case admission.AbortStream:
		if st != nil {
			c.dropLocked(st, http2.ErrCodeEnhanceYourCalm)
		}
	case admission.LimitStreams:
		c.queueLocked(func() error {
			return c.framer.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(a.Count)})
		})
	case admission.GoAway:
		c.leaving = time.Now()
		c.queueLocked(func() error { return c.framer.WriteGoAway(mostWindow, http2.ErrCodeNo, []byte(a.Reason)) })
	case admission.CloseConnection:
		newest := c.newest
		c.control = append(c.control, func() error {
			return errors.Join(c.framer.WriteGoAway(newest, http2.ErrCodeEnhanceYourCalm, []byte(a.Reason)), errCut)
		})
		c.wake.Signal()
	}
}

// errCut ends the writer, and with it the connection.
var errCut = errors.New("the connection is cut")
