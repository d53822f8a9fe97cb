package h2frontend

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"reachpulley/internal/admission"
	"reachpulley/internal/intake"
)

// minWindowIncrement is the increment, in bytes, below which a WINDOW_UPDATE counts as a violation.
const minWindowIncrement = 64

// wrongProtocolResponse is sent to clients that speak HTTP/1 or ask for an upgrade from it.
var wrongProtocolResponse = func() string {
	const reason = "This port speaks HTTP/2 with prior knowledge, neither HTTP/1 nor an upgrade from it.\n"
	return "HTTP/1.1 505 HTTP Version Not Supported\r\n" +
		"Content-Type: text/plain; charset=utf-8\r\n" +
		"Connection: close\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(reason), reason)
}()

// read reads frames until the connection ends or its input cannot be used any more. It returns nil in the first case,
// and the reason in the second.
func (c *conn) read() *connError {
	if !c.readPreface() {
		return nil
	}
	c.framer.ReadMetaHeaders = hpack.NewDecoder(headerTableSize, nil)
	c.framer.MaxHeaderListSize = uint32(c.server.options.MaxHeaderBytes)
	c.framer.SetMaxReadFrameSize(defaultMaxFrameSize)
	c.sendSettings()
	for first := true; !c.isClosing(); first = false {
		// The first frame must begin before the deadline that readPreface set. Later frames may begin at any time, but
		// once begun they must arrive within requestTimeout: otherwise an endless field section would occupy the
		// connection forever.
		if !first {
			c.setReadDeadline(time.Time{})
		}
		if _, err := c.reader.Peek(1); err != nil {
			return nil
		}
		c.setReadDeadline(time.Now().Add(requestTimeout))
		err := c.readFrame(first)
		time.Sleep(c.pacer.Spend(intake.FrameCost))
		intake.Yield()
		if err == nil {
			continue
		}
		var streamError http2.StreamError
		if !errors.As(err, &streamError) {
			return connErrorFor(err)
		}
		c.resetForError(streamError.StreamID, streamError.Code)
	}
	return c.readWhileClosing()
}

// readFrame reads and handles one frame. While the fields of a request arrive in several frames, memory is reserved for
// as many as it may have.
func (c *conn) readFrame(first bool) error {
	if c.startsFieldSection() {
		size := c.server.options.MaxHeaderBytes / minFieldSize * intake.FieldBytes
		if !c.reserve(size) {
			return &connError{code: http2.ErrCodeEnhanceYourCalm, reason: "no memory for the fields", framingLost: true}
		}
		defer c.memory.Release(size)
	}
	frame, err := c.framer.ReadFrame()
	if err != nil {
		return err
	}
	return c.handleFrame(frame, first)
}

// minFieldSize is what each field counts at least towards the size of a field section (RFC 9113, section 6.5.2).
const minFieldSize = 32

// The header of a frame (RFC 9113, section 4.1).
const (
	frameHeaderSize = 9
	frameTypeOffset = 3
	frameFlagOffset = 4
)

// startsFieldSection reports whether the next frame begins a field section that goes on in other frames. It waits until
// the frame's header has arrived.
func (c *conn) startsFieldSection() bool {
	header, err := c.reader.Peek(frameHeaderSize)
	if err != nil {
		return false // the framer will meet the same error
	}
	flags := http2.Flags(header[frameFlagOffset])
	return http2.FrameType(header[frameTypeOffset]) == http2.FrameHeaders && !flags.Has(http2.FlagHeadersEndHeaders)
}

// readPreface reads the client's connection preface and reports whether it is that of HTTP/2. It queues
// wrongProtocolResponse if isHTTP1 recognizes an HTTP/1 request in what the client has sent instead.
func (c *conn) readPreface() bool {
	c.setReadDeadline(time.Now().Add(requestTimeout))
	preface := make([]byte, len(http2.ClientPreface))
	n, err := io.ReadFull(c.reader, preface)
	if err == nil && string(preface) == http2.ClientPreface {
		return true
	}
	if isHTTP1(preface[:n]) {
		c.mu.Lock()
		c.controlFrames = append(c.controlFrames, func() error {
			_, err := c.writer.WriteString(wrongProtocolResponse)
			return err
		})
		c.mu.Unlock()
	}
	return false
}

// isHTTP1 reports whether the first bytes of a connection look like an HTTP/1 request: they contain "HTTP/1" or begin
// with a method that clients of HTTP/1 send.
func isHTTP1(start []byte) bool {
	if strings.Contains(string(start), "HTTP/1") {
		return true
	}
	method, _, found := strings.Cut(string(start), " ")
	return found && slices.Contains(http1Methods, method)
}

// http1Methods are the methods by which isHTTP1 recognizes a request whose first line is long.
var http1Methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPut, http.MethodPost, http.MethodPatch, http.MethodDelete,
}

// sendSettings queues the server's connection preface: its SETTINGS, and a WINDOW_UPDATE that raises the connection's
// receive window to connReceiveWindow.
func (c *conn) sendSettings() {
	options := &c.server.options
	settings := []http2.Setting{
		{ID: http2.SettingMaxConcurrentStreams, Val: uint32(options.Admission.MaxStreams)},
		{ID: http2.SettingInitialWindowSize, Val: streamReceiveWindow},
		{ID: http2.SettingMaxHeaderListSize, Val: uint32(options.MaxHeaderBytes)},
		{ID: http2.SettingEnablePush, Val: 0},
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settingsSent = true
	c.queueControlLocked(func() error {
		err := c.framer.WriteSettings(settings...)
		return errors.Join(err, c.framer.WriteWindowUpdate(0, connReceiveWindow-initialWindow))
	})
	if c.goAwayReason != "" {
		c.goAwayLocked(c.goAwayReason)
	}
}

// connErrorFor returns the connError for an error of reading or handling a frame. It returns nil if the connection has
// ended.
func connErrorFor(err error) *connError {
	var connErr *connError
	var framerErr http2.ConnectionError
	switch {
	case errors.As(err, &connErr):
		return connErr
	case errors.As(err, &framerErr):
		return &connError{code: http2.ErrCode(framerErr)}
	case errors.Is(err, http2.ErrFrameTooLarge):
		const reason = "a frame is longer than SETTINGS allow"
		return &connError{code: http2.ErrCodeFrameSize, reason: reason, framingLost: true}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &connError{code: http2.ErrCodeNo, reason: "a frame did not arrive in time", framingLost: true}
	}
	return nil
}

// handleFrame processes a frame. If it returns an http2.StreamError, the caller resets the stream. Any other error ends
// the connection.
func (c *conn) handleFrame(frame http2.Frame, first bool) error {
	settings, isSettings := frame.(*http2.SettingsFrame)
	if first && (!isSettings || settings.IsAck()) {
		return &connError{code: http2.ErrCodeProtocol, reason: "the first frame is not SETTINGS"}
	}
	switch frame := frame.(type) {
	case *http2.MetaHeadersFrame:
		return c.handleHeaders(frame)
	case *http2.DataFrame:
		return c.handleData(frame)
	case *http2.SettingsFrame:
		if !first && !frame.IsAck() {
			c.recordViolation(admission.SettingsChange)
		}
	case *http2.PriorityFrame:
		c.recordViolation(admission.PriorityChange)
	case *http2.PriorityUpdateFrame:
		c.handlePriorityUpdate(frame)
	case *http2.PushPromiseFrame:
		return &connError{code: http2.ErrCodeProtocol, reason: "clients don't push"}
	}
	return c.handleControlFrame(frame)
}

// handleControlFrame processes a frame on which responses depend. It ignores others: a GOAWAY needs no action, since
// the client that sends it also closes the connection, and unknown frames are ignored (RFC 9113, section 5.5).
func (c *conn) handleControlFrame(frame http2.Frame) error {
	switch frame := frame.(type) {
	case *http2.SettingsFrame:
		return c.handleSettings(frame)
	case *http2.PingFrame:
		c.handlePing(frame)
	case *http2.WindowUpdateFrame:
		return c.handleWindowUpdate(frame)
	case *http2.RSTStreamFrame:
		return c.handleRSTStream(frame.StreamID)
	}
	return nil
}

// handlePing acknowledges a PING and records it as a violation. Acknowledgements of PINGs are ignored.
func (c *conn) handlePing(frame *http2.PingFrame) {
	if frame.IsAck() {
		return
	}
	data := frame.Data
	c.queueControl(func() error { return c.framer.WritePing(true, data) })
	c.recordViolation(admission.UnsolicitedPing)
}

// handlePriorityUpdate changes the urgency of a stream (RFC 9218, section 7.1). An update for a stream that is not open
// is ignored.
func (c *conn) handlePriorityUpdate(frame *http2.PriorityUpdateFrame) {
	c.recordViolation(admission.PriorityChange)
	c.mu.Lock()
	defer c.mu.Unlock()
	if st := c.streams[frame.PrioritizedStreamID]; st != nil {
		st.urgency = parseUrgency(frame.Priority)
		c.wake.Signal()
	}
}

// handleSettings applies the client's settings and acknowledges them (RFC 9113, section 6.5).
func (c *conn) handleSettings(frame *http2.SettingsFrame) error {
	if frame.IsAck() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	err := frame.ForeachSetting(c.applySettingLocked)
	c.queueControlLocked(func() error { return c.framer.WriteSettingsAck() })
	return err
}

// applySettingLocked applies a setting of the client. A new initial window also changes the windows of open streams.
func (c *conn) applySettingLocked(setting http2.Setting) error {
	if err := setting.Valid(); err != nil {
		return err
	}
	switch setting.ID {
	case http2.SettingInitialWindowSize:
		change := int64(setting.Val) - c.initialStreamSendWindow
		c.initialStreamSendWindow = int64(setting.Val)
		for _, st := range c.streams {
			st.sendWindow += change
			if st.sendWindow > maxWindow {
				return &connError{code: http2.ErrCodeFlowControl, reason: "a window is too large"}
			}
		}
	case http2.SettingMaxFrameSize:
		c.maxFrameSize = int(setting.Val)
	case http2.SettingHeaderTableSize:
		size := min(setting.Val, headerTableSize)
		c.queueControlLocked(func() error {
			c.encoder.SetMaxDynamicTableSize(size)
			return nil
		})
	}
	return nil
}

// handleWindowUpdate raises the send window of a stream or of the connection (RFC 9113, section 6.9).
func (c *conn) handleWindowUpdate(frame *http2.WindowUpdateFrame) error {
	if frame.Increment < minWindowIncrement {
		c.recordViolation(admission.SmallWindowUpdate)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.wake.Signal()
	if frame.StreamID == 0 {
		c.sendWindow += int64(frame.Increment)
		if c.sendWindow > maxWindow {
			return &connError{code: http2.ErrCodeFlowControl, reason: "the connection's window is too large"}
		}
		return nil
	}
	st := c.streams[frame.StreamID]
	if st == nil {
		if frame.StreamID > c.highestStream {
			return &connError{code: http2.ErrCodeProtocol, reason: "WINDOW_UPDATE on an idle stream"}
		}
		return nil // the stream ended before the WINDOW_UPDATE arrived
	}
	st.sendWindow += int64(frame.Increment)
	if st.sendWindow > maxWindow {
		return http2.StreamError{StreamID: frame.StreamID, Code: http2.ErrCodeFlowControl}
	}
	return nil
}
