package h2frontend

import (
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// conformance are cases by the sections of RFC 9113 and RFC 7541: what is sent after the preface, and what must come back.
var conformance = []struct {
	name string
	send func(c *raw)
	want string
}{
	{"9113-4.1 an unknown frame is ignored", func(c *raw) { c.framer.WriteRawFrame(0xee, 0, 0, []byte("x")); c.request(1, "GET", "/", true) }, "headers 1 200"},
	{"9113-4.2 a frame beyond the largest", func(c *raw) { c.framer.WriteRawFrame(http2.FrameData, 0, 1, make([]byte, 16<<10+1)) }, "goaway 0 FRAME_SIZE_ERROR"},
	{"9113-4.3 a field block that can't be decoded", func(c *raw) {
		c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, EndHeaders: true})
	}, "goaway 0 COMPRESSION_ERROR"},
	{"9113-5.1 DATA on an idle stream", func(c *raw) { c.framer.WriteData(1, true, []byte("x")) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-5.1 RST_STREAM on an idle stream", func(c *raw) { c.framer.WriteRSTStream(1, http2.ErrCodeCancel) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-5.1 WINDOW_UPDATE on an idle stream", func(c *raw) { c.framer.WriteWindowUpdate(1, 100) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-5.1 DATA after END_STREAM", func(c *raw) { c.request(1, "PUT", "/slow", true); c.framer.WriteData(1, true, []byte("x")) }, "rst 1 STREAM_CLOSED"},
	{"9113-5.1 HEADERS after END_STREAM", func(c *raw) { c.request(1, "GET", "/slow", true); c.request(1, "GET", "/", true) }, "goaway 1 STREAM_CLOSED"},
	{"9113-5.1.1 an even stream", func(c *raw) { c.request(2, "GET", "/", true) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-5.1.1 a stream below the newest", func(c *raw) { c.request(5, "GET", "/slow", true); c.request(3, "GET", "/", true) }, "goaway 5 STREAM_CLOSED"},
	{"9113-5.1.2 more streams than allowed", func(c *raw) {
		for id := uint32(1); id <= 201; id += 2 {
			c.request(id, "GET", "/slow", true)
		}
	}, "rst 201 REFUSED_STREAM"},
	{"9113-5.4.1 a stream's error leaves the others", func(c *raw) { c.request(1, "GET", "/", true, "connection", "x"); c.request(3, "GET", "/", true) }, "headers 3 200"},
	{"9113-5.5 an unknown setting is ignored", func(c *raw) { c.framer.WriteSettings(http2.Setting{ID: 0xee, Val: 1}) }, "settings ack"},
	{"9113-6.1 DATA on stream 0", func(c *raw) { c.framer.WriteRawFrame(http2.FrameData, 0, 0, []byte("x")) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-6.1 padding longer than DATA", func(c *raw) {
		c.request(1, "PUT", "/", false)
		c.framer.WriteRawFrame(http2.FrameData, http2.FlagDataPadded, 1, []byte{9, 1})
	}, "goaway 1 PROTOCOL_ERROR"},
	{"9113-6.1 padding is no body", func(c *raw) {
		c.request(1, "PUT", "/", false, "content-length", "1")
		c.framer.WriteDataPadded(1, true, []byte("x"), make([]byte, 5))
	}, "headers 1 200"},
	{"9113-6.2 HEADERS on stream 0", func(c *raw) { c.request(0, "GET", "/", true) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-6.3 PRIORITY is ignored", func(c *raw) {
		c.framer.WritePriority(1, http2.PriorityParam{StreamDep: 3, Weight: 5})
		c.request(1, "GET", "/", true)
	}, "headers 1 200"},
	{"9113-6.3 PRIORITY of another length", func(c *raw) { c.framer.WriteRawFrame(http2.FramePriority, 0, 1, []byte("x")) }, "goaway 0 FRAME_SIZE_ERROR"},
	{"9113-6.4 RST_STREAM of another length", func(c *raw) {
		c.request(1, "GET", "/slow", true)
		c.framer.WriteRawFrame(http2.FrameRSTStream, 0, 1, []byte("x"))
	}, "goaway 1 FRAME_SIZE_ERROR"},
	{"9113-6.5 SETTINGS on a stream", func(c *raw) { c.framer.WriteRawFrame(http2.FrameSettings, 0, 1, nil) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-6.5 SETTINGS of another length", func(c *raw) { c.framer.WriteRawFrame(http2.FrameSettings, 0, 0, []byte("x")) }, "goaway 0 FRAME_SIZE_ERROR"},
	{"9113-6.5 an acknowledgement with a body", func(c *raw) { c.framer.WriteRawFrame(http2.FrameSettings, http2.FlagSettingsAck, 0, make([]byte, 6)) }, "goaway 0 FRAME_SIZE_ERROR"},
	{"9113-6.5.2 an initial window beyond 2^31-1", func(c *raw) {
		c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 31})
	}, "goaway 0 FLOW_CONTROL_ERROR"},
	{"9113-6.5.2 a frame size below 2^14", func(c *raw) { c.framer.WriteSettings(http2.Setting{ID: http2.SettingMaxFrameSize, Val: 100}) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-6.5.3 SETTINGS are acknowledged", func(c *raw) {}, "settings ack"},
	{"9113-6.6 PUSH_PROMISE of a client", func(c *raw) {
		c.framer.WritePushPromise(http2.PushPromiseParam{StreamID: 1, PromiseID: 2, EndHeaders: true})
	}, "goaway 0 PROTOCOL_ERROR"},
	{"9113-6.7 PING is answered", func(c *raw) { c.framer.WritePing(false, [8]byte{1}) }, "ping"},
	{"9113-6.7 PING on a stream", func(c *raw) { c.framer.WriteRawFrame(http2.FramePing, 0, 1, make([]byte, 8)) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-6.7 PING of another length", func(c *raw) { c.framer.WriteRawFrame(http2.FramePing, 0, 0, make([]byte, 7)) }, "goaway 0 FRAME_SIZE_ERROR"},
	{"9113-6.8 GOAWAY on a stream", func(c *raw) { c.framer.WriteRawFrame(http2.FrameGoAway, 0, 1, make([]byte, 8)) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-6.9 a window raised by nothing", func(c *raw) {
		c.request(1, "GET", "/slow", true)
		c.framer.WriteRawFrame(http2.FrameWindowUpdate, 0, 1, make([]byte, 4))
	}, "rst 1 PROTOCOL_ERROR"},
	{"9113-6.9 the connection's window raised by nothing", func(c *raw) { c.framer.WriteRawFrame(http2.FrameWindowUpdate, 0, 0, make([]byte, 4)) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-6.9.1 a stream's window overflows", func(c *raw) {
		c.request(1, "GET", "/slow", true)
		c.framer.WriteWindowUpdate(1, 1<<31-1)
	}, "rst 1 FLOW_CONTROL_ERROR"},
	{"9113-6.9.1 the connection's window overflows", func(c *raw) { c.framer.WriteWindowUpdate(0, 1<<31-1) }, "goaway 0 FLOW_CONTROL_ERROR"},
	{"9113-6.9.2 a window that settings overflow", func(c *raw) {
		c.request(1, "GET", "/slow", true)
		c.framer.WriteWindowUpdate(1, 1<<31-1-64<<10)
		c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1<<31 - 1})
	}, "goaway 1 FLOW_CONTROL_ERROR"},
	{"9113-6.9.2 an initial window of 0 holds bodies", func(c *raw) {
		c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
		c.request(1, "GET", "/big", true)
	}, "headers 1 200"},
	{"9113-6.10 CONTINUATION without HEADERS", func(c *raw) { c.framer.WriteContinuation(1, true, []byte("x")) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-6.10 HEADERS broken by another frame", func(c *raw) {
		c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x82}})
		c.framer.WritePing(false, [8]byte{})
	}, "goaway 0 PROTOCOL_ERROR"},
	{"9113-8.1 trailers", func(c *raw) {
		c.request(1, "PUT", "/", false)
		c.framer.WriteData(1, false, []byte("x"))
		c.fields(1, true, "x-sum", "1")
	}, "headers 1 200"},
	{"9113-8.1 trailers that don't end the stream", func(c *raw) { c.request(1, "PUT", "/", false); c.fields(1, false, "x-sum", "1") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.1 pseudo-headers in trailers", func(c *raw) { c.request(1, "PUT", "/", false); c.fields(1, true, ":path", "/") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.1.1 a body shorter than content-length", func(c *raw) {
		c.request(1, "PUT", "/", false, "content-length", "5")
		c.framer.WriteData(1, true, []byte("x"))
	}, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.1.1 a body longer than content-length", func(c *raw) {
		c.request(1, "PUT", "/", false, "content-length", "1")
		c.framer.WriteData(1, false, []byte("xx"))
	}, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.1.1 no body where content-length has one", func(c *raw) { c.request(1, "PUT", "/", true, "content-length", "5") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.1.1 two content-lengths", func(c *raw) { c.request(1, "PUT", "/", false, "content-length", "1", "content-length", "2") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.2.1 an uppercase name", func(c *raw) { c.request(1, "GET", "/", true, "X-Upper", "1") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.2.1 a value with a line break", func(c *raw) { c.request(1, "GET", "/", true, "x-a", "a\r\nb") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.2.2 connection", func(c *raw) { c.request(1, "GET", "/", true, "connection", "close") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.2.2 transfer-encoding", func(c *raw) { c.request(1, "PUT", "/", true, "transfer-encoding", "chunked") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.2.2 upgrade", func(c *raw) { c.request(1, "GET", "/", true, "upgrade", "h2c") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.2.2 te", func(c *raw) { c.request(1, "GET", "/", true, "te", "gzip") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.2.2 te: trailers", func(c *raw) { c.request(1, "GET", "/", true, "te", "trailers") }, "headers 1 200"},
	{"9113-8.2.3 cookies in pieces", func(c *raw) { c.request(1, "GET", "/", true, "cookie", "a=1", "cookie", "b=2") }, "headers 1 200"},
	{"9113-8.3 an unknown pseudo-header", func(c *raw) { c.request(1, "GET", "/", true, ":other", "x") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.3 a pseudo-header after a field", func(c *raw) { c.fields(1, true, ":method", "GET", "x-a", "1", ":scheme", "http", ":path", "/") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.3 a pseudo-header twice", func(c *raw) { c.request(1, "GET", "/", true, ":path", "/b") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.3 a response's pseudo-header", func(c *raw) { c.request(1, "GET", "/", true, ":status", "200") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.3.1 no :method", func(c *raw) { c.fields(1, true, ":scheme", "http", ":path", "/") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.3.1 no :path", func(c *raw) { c.fields(1, true, ":method", "GET", ":scheme", "http") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.3.1 an empty :path", func(c *raw) { c.request(1, "GET", "", true) }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.3.1 no :scheme", func(c *raw) { c.fields(1, true, ":method", "GET", ":path", "/") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.5 CONNECT", func(c *raw) { c.fields(1, true, ":method", "CONNECT", ":authority", "gate:1") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-10.5.1 a field section beyond the announced", func(c *raw) {
		c.request(1, "GET", "/", true, "x-big", strings.Repeat("x", 15<<10), "x-more", strings.Repeat("y", 900))
	}, "headers 1 431"},
	{"7541-2.3.3 an index of no entry", func(c *raw) {
		c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0xfe}, EndHeaders: true})
	}, "goaway 0 COMPRESSION_ERROR"},
	{"7541-4.2 a table size beyond the announced", func(c *raw) {
		c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x3f, 0xe2, 0x7f}, EndHeaders: true})
	}, "goaway 0 COMPRESSION_ERROR"},
	{"7541-5.1 an integer without end", func(c *raw) {
		c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x7f, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x01}, EndHeaders: true})
	}, "goaway 0 COMPRESSION_ERROR"},
	{"7541-5.2 a text longer than its block", func(c *raw) {
		c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x00, 0x05, 'a'}, EndHeaders: true})
	}, "goaway 0 COMPRESSION_ERROR"},
	{"7541-6.1 index 0", func(c *raw) {
		c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x80}, EndHeaders: true})
	}, "goaway 0 COMPRESSION_ERROR"},
	{"9113-6.2 HEADERS that names stream 0", func(c *raw) { c.framer.WriteRawFrame(http2.FrameHeaders, 0, 0, []byte{0x82}) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-6.3 PRIORITY that names stream 0", func(c *raw) { c.framer.WriteRawFrame(http2.FramePriority, 0, 0, make([]byte, 5)) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-6.4 RST_STREAM that names stream 0", func(c *raw) { c.framer.WriteRawFrame(http2.FrameRSTStream, 0, 0, make([]byte, 4)) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-6.10 CONTINUATION on stream 0", func(c *raw) { c.framer.WriteRawFrame(http2.FrameContinuation, 0, 0, []byte{0x82}) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-6.9 WINDOW_UPDATE of another length", func(c *raw) { c.framer.WriteRawFrame(http2.FrameWindowUpdate, 0, 0, make([]byte, 3)) }, "goaway 0 FRAME_SIZE_ERROR"},
	{"9113-6.8 GOAWAY of a client leaves its streams", func(c *raw) { c.framer.WriteGoAway(0, http2.ErrCodeNo, nil); c.request(1, "GET", "/", true) }, "headers 1 200"},
	{"9113-6.7 an acknowledgement nobody asked for", func(c *raw) { c.framer.WritePing(true, [8]byte{}); c.request(1, "GET", "/", true) }, "headers 1 200"},
	{"9113-6.5.2 push can't be other than 0 or 1", func(c *raw) { c.framer.WriteSettings(http2.Setting{ID: http2.SettingEnablePush, Val: 2}) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-6.5.2 a frame size beyond 2^24-1", func(c *raw) { c.framer.WriteSettings(http2.Setting{ID: http2.SettingMaxFrameSize, Val: 1 << 24}) }, "goaway 0 PROTOCOL_ERROR"},
	{"9113-6.5.2 the largest initial window", func(c *raw) {
		c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1<<31 - 1})
		c.request(1, "GET", "/big", true)
	}, "data 1 16384"},
	{"9113-6.5.2 a table of size 0", func(c *raw) {
		c.framer.WriteSettings(http2.Setting{ID: http2.SettingHeaderTableSize, Val: 0})
		c.request(1, "GET", "/", true)
	}, "headers 1 200"},
	{"9113-6.5.2 a table larger than ours", func(c *raw) {
		c.framer.WriteSettings(http2.Setting{ID: http2.SettingHeaderTableSize, Val: 1 << 30})
		c.request(1, "GET", "/", true)
	}, "headers 1 200"},
	{"9113-6.5.3 several SETTINGS at once", func(c *raw) {
		c.framer.WriteSettings(http2.Setting{ID: http2.SettingMaxFrameSize, Val: 20000}, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 20})
		c.request(1, "GET", "/big", true)
	}, "data 1 20000"},
	{"9113-6.9.1 a window of a byte", func(c *raw) {
		c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1})
		c.request(1, "GET", "/big", true)
	}, "data 1 1"},
	{"9113-6.9.2 a smaller initial window takes from open streams", func(c *raw) {
		c.request(1, "GET", "/slow", true)
		c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 100})
		c.request(3, "GET", "/big", true)
	}, "data 3 100"},
	{"9113-6.9.2 a window that settings raise", func(c *raw) {
		c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
		c.request(1, "GET", "/big", true)
		c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 7})
	}, "data 1 7"},
	{"9113-6.9.3 a window that is raised later", func(c *raw) {
		c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
		c.request(1, "GET", "/big", true)
		c.framer.WriteWindowUpdate(1, 3000)
	}, "data 1 3000"},
	{"9113-5.1 WINDOW_UPDATE after the answer", func(c *raw) {
		c.request(1, "GET", "/", true)
		c.expect("headers 1")
		c.framer.WriteWindowUpdate(1, 100)
		c.request(3, "GET", "/", true)
	}, "headers 3 200"},
	{"9113-5.1 RST_STREAM after the answer", func(c *raw) {
		c.request(1, "GET", "/", true)
		c.expect("headers 1")
		c.framer.WriteRSTStream(1, http2.ErrCodeCancel)
		c.request(3, "GET", "/", true)
	}, "headers 3 200"},
	{"9113-5.1 PRIORITY after the answer", func(c *raw) {
		c.request(1, "GET", "/", true)
		c.expect("headers 1")
		c.framer.WritePriority(1, http2.PriorityParam{})
		c.request(3, "GET", "/", true)
	}, "headers 3 200"},
	{"9113-5.1 DATA after a reset of ours is passed over", func(c *raw) {
		c.request(1, "PUT", "/", false, "connection", "x")
		c.framer.WriteData(1, true, []byte("x"))
		c.request(3, "GET", "/", true)
	}, "headers 3 200"},
	{"9113-5.1.1 streams that are left out are closed", func(c *raw) { c.request(9, "GET", "/", true); c.request(7, "GET", "/", true) }, "goaway 9 STREAM_CLOSED"},
	{"9113-5.1.2 room again once one has ended", func(c *raw) {
		for id := uint32(1); id <= 199; id += 2 {
			c.request(id, "GET", "/slow", true)
		}
		c.expect("headers 199")
		c.request(201, "GET", "/", true)
	}, "headers 201 200"},
	{"9113-4.1 reserved flags are ignored", func(c *raw) { c.framer.WriteRawFrame(http2.FramePing, 0xf0, 0, make([]byte, 8)) }, "ping"},
	{"9113-4.2 HEADERS beyond the largest frame", func(c *raw) { c.framer.WriteRawFrame(http2.FrameHeaders, 4, 1, make([]byte, 16<<10+1)) }, "goaway 0 FRAME_SIZE_ERROR"},
	{"9113-4.3 a field section in many frames", func(c *raw) {
		c.block.Reset()
		for _, p := range [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/"}} {
			c.encoder.WriteField(hpack.HeaderField{Name: p[0], Value: p[1]})
		}
		b := c.block.Bytes()
		c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, EndStream: true})
		for i := range b {
			c.framer.WriteContinuation(1, i == len(b)-1, b[i:i+1])
		}
	}, "headers 1 200"},
	{"9113-6.1 an empty DATA ends a stream", func(c *raw) { c.request(1, "PUT", "/", false); c.framer.WriteData(1, true, nil) }, "headers 1 200"},
	{"9113-6.2 padded HEADERS", func(c *raw) {
		c.block.Reset()
		for _, p := range [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/"}} {
			c.encoder.WriteField(hpack.HeaderField{Name: p[0], Value: p[1]})
		}
		c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: c.block.Bytes(), EndStream: true, EndHeaders: true, PadLength: 9})
	}, "headers 1 200"},
	{"9113-6.2 HEADERS with a priority", func(c *raw) {
		c.block.Reset()
		for _, p := range [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/"}} {
			c.encoder.WriteField(hpack.HeaderField{Name: p[0], Value: p[1]})
		}
		c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: c.block.Bytes(), EndStream: true, EndHeaders: true, Priority: http2.PriorityParam{StreamDep: 3, Weight: 2}})
	}, "headers 1 200"},
	{"9113-8.1 a body without content-length", func(c *raw) {
		c.request(1, "PUT", "/", false)
		c.framer.WriteData(1, false, []byte("x"))
		c.framer.WriteData(1, true, []byte("y"))
	}, "data 1 2"},
	{"9113-8.1 a body with its content-length", func(c *raw) {
		c.request(1, "PUT", "/", false, "content-length", "2")
		c.framer.WriteData(1, true, []byte("xy"))
	}, "data 1 2"},
	{"9113-8.1 an answer before the request is in", func(c *raw) { c.request(1, "PUT", "/", false, "content-length", "70000") }, "headers 1 413"},
	{"9113-8.1 and the rest is not wanted", func(c *raw) { c.request(1, "PUT", "/", false, "content-length", "70000") }, "rst 1 NO_ERROR"},
	{"9113-8.1.1 a content-length of x", func(c *raw) { c.request(1, "PUT", "/", false, "content-length", "x") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.1.1 a content-length of -1", func(c *raw) { c.request(1, "PUT", "/", false, "content-length", "-1") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.1.1 a content-length of 1.5", func(c *raw) { c.request(1, "PUT", "/", false, "content-length", "1.5") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.1.1 a content-length of 99999999999999999999", func(c *raw) { c.request(1, "PUT", "/", false, "content-length", "99999999999999999999") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.1.1 a content-length of +1", func(c *raw) { c.request(1, "PUT", "/", false, "content-length", "+1") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.2.1 an empty name", func(c *raw) { c.request(1, "GET", "/", true, "", "1") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.2.1 a name with a blank", func(c *raw) { c.request(1, "GET", "/", true, "x a", "1") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.2.1 a name with a colon", func(c *raw) { c.request(1, "GET", "/", true, "x:a", "1") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.2.1 a value with a zero byte", func(c *raw) { c.request(1, "GET", "/", true, "x-a", "a\x00b") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.2.2 keep-alive", func(c *raw) { c.request(1, "GET", "/", true, "keep-alive", "x") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.2.2 proxy-connection", func(c *raw) { c.request(1, "GET", "/", true, "proxy-connection", "x") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.3.1 :method twice", func(c *raw) { c.request(1, "GET", "/", true, ":method", "GET") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.3.1 :scheme twice", func(c *raw) { c.request(1, "GET", "/", true, ":scheme", "http") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.3.1 :authority twice", func(c *raw) { c.request(1, "GET", "/", true, ":authority", "b") }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.3.1 a :path that is none", func(c *raw) { c.request(1, "GET", "x y", true) }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.3.1 :path * is for OPTIONS alone", func(c *raw) { c.request(1, "GET", "*", true) }, "rst 1 PROTOCOL_ERROR"},
	{"9113-8.3.1 host in place of :authority", func(c *raw) { c.fields(1, true, ":method", "GET", ":scheme", "http", ":path", "/", "host", "gate") }, "headers 1 200"},
	{"9113-8.7 a refused stream was not taken", func(c *raw) {
		for id := uint32(1); id <= 201; id += 2 {
			c.request(id, "GET", "/slow", true)
		}
		c.expect("rst 201 REFUSED_STREAM")
		c.expect("headers 199")
		c.request(203, "GET", "/", true)
	}, "headers 203 200"},
	{"7541-6.3 a table made smaller", func(c *raw) {
		c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x20, 0x82, 0x86, 0x84}, EndStream: true, EndHeaders: true})
	}, "headers 1 200"},
	{"7541-4.2 a change of the table's size amid fields", func(c *raw) {
		c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x82, 0x86, 0x84, 0x40, 0x01, 'x', 0x01, 'y', 0x20}, EndStream: true, EndHeaders: true})
	}, "goaway 0 COMPRESSION_ERROR"},
	{"7541-5.2 Huffman padding longer than 7 bits", func(c *raw) {
		c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x00, 0x82, 0x1f, 0xff, 0x01, 'a'}, EndHeaders: true})
	}, "goaway 0 COMPRESSION_ERROR"},
	{"7541-6.2.2 a literal that is not indexed", func(c *raw) {
		c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x82, 0x86, 0x84, 0x00, 0x01, 'x', 0x01, 'y'}, EndStream: true, EndHeaders: true})
	}, "headers 1 200"},
	{"7541-6.2.3 a literal that is never indexed", func(c *raw) {
		c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x82, 0x86, 0x84, 0x10, 0x01, 'x', 0x01, 'y'}, EndStream: true, EndHeaders: true})
	}, "headers 1 200"},
	{"7541-6.1 an index of the dynamic table", func(c *raw) {
		c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x82, 0x86, 0x84, 0x40, 0x01, 'x', 0x01, 'y', 0xbe}, EndStream: true, EndHeaders: true})
	}, "headers 1 200"},
}

func TestConformance(t *testing.T) {
	for _, one := range conformance {
		t.Run(one.name, func(t *testing.T) {
			play(t, nil, func(s *stage) {
				s.t = t
				c := s.raw()
				one.send(c)
				c.expect(one.want)
			})
		})
	}
}

func TestPreface(t *testing.T) {
	for name, c := range map[string]struct {
		say  func(c *raw)
		want string
	}{
		"9113-3.4 no preface":                      {func(c *raw) { c.conn.Write(make([]byte, 24)) }, "end"},
		"9113-3.4 a preface that does not come":    {func(c *raw) { c.conn.Write([]byte("PRI")) }, "end"},
		"9113-3.4 the first frame is not SETTINGS": {func(c *raw) { c.conn.Write([]byte(http2.ClientPreface)); c.framer.WritePing(false, [8]byte{}) }, "goaway 0 PROTOCOL_ERROR"},
		"9113-3.4 an acknowledgement is no first SETTINGS": {func(c *raw) { c.conn.Write([]byte(http2.ClientPreface)); c.framer.WriteSettingsAck() },
			"goaway 0 PROTOCOL_ERROR"},
		"9113-3.4 SETTINGS that do not come": {func(c *raw) { c.conn.Write([]byte(http2.ClientPreface)) }, "end"},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, nil, func(s *stage) {
				s.t = t
				r := s.bare()
				c.say(r)
				r.expect(c.want)
			})
		})
	}
}
