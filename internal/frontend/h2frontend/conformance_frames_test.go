package h2frontend

import (
	"golang.org/x/net/http2"
)

// frameConformance covers the definitions of the frame types (RFC 9113, section 6).
var frameConformance = []conformanceCase{
	{
		name: "9113-6.1 DATA on stream 0",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(http2.FrameData, 0, 0, []byte("x"))
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-6.1 padding longer than DATA",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false)
			c.framer.WriteRawFrame(http2.FrameData, http2.FlagDataPadded, 1, []byte{9, 1})
		},
		want: "goaway 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-6.1 padding does not count as body",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false, "content-length", "1")
			c.framer.WriteDataPadded(1, true, []byte("x"), make([]byte, 5))
		},
		want: "headers 1 200",
	},
	{
		name: "9113-6.1 empty DATA with END_STREAM",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false)
			c.framer.WriteData(1, true, nil)
		},
		want: "headers 1 200",
	},
	{
		name: "9113-6.2 HEADERS on stream 0",
		send: func(c *rawClient) {
			c.request(0, "GET", "/", true)
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-6.2 incomplete HEADERS on stream 0",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(http2.FrameHeaders, 0, 0, []byte{0x82})
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-6.2 padded HEADERS",
		send: func(c *rawClient) {
			block := c.encode(minimalRequest...)
			c.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID:      1,
				BlockFragment: block,
				EndStream:     true,
				EndHeaders:    true,
				PadLength:     9,
			})
		},
		want: "headers 1 200",
	},
	{
		name: "9113-6.2 HEADERS with a priority",
		send: func(c *rawClient) {
			block := c.encode(minimalRequest...)
			c.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID:      1,
				BlockFragment: block,
				EndStream:     true,
				EndHeaders:    true,
				Priority:      http2.PriorityParam{StreamDep: 3, Weight: 2},
			})
		},
		want: "headers 1 200",
	},
	{
		name: "9113-6.3 PRIORITY is ignored",
		send: func(c *rawClient) {
			c.framer.WritePriority(1, http2.PriorityParam{StreamDep: 3, Weight: 5})
			c.request(1, "GET", "/", true)
		},
		want: "headers 1 200",
	},
	{
		name: "9113-6.3 PRIORITY of a wrong length",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(http2.FramePriority, 0, 1, []byte("x"))
		},
		want: "goaway 0 FRAME_SIZE_ERROR",
	},
	{
		name: "9113-6.3 PRIORITY on stream 0",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(http2.FramePriority, 0, 0, make([]byte, 5))
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-6.4 RST_STREAM of a wrong length",
		send: func(c *rawClient) {
			c.request(1, "GET", "/slow", true)
			c.framer.WriteRawFrame(http2.FrameRSTStream, 0, 1, []byte("x"))
		},
		want: "goaway 1 FRAME_SIZE_ERROR",
	},
	{
		name: "9113-6.4 RST_STREAM on stream 0",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(http2.FrameRSTStream, 0, 0, make([]byte, 4))
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-6.5 SETTINGS on a stream",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(http2.FrameSettings, 0, 1, nil)
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-6.5 SETTINGS of a wrong length",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(http2.FrameSettings, 0, 0, []byte("x"))
		},
		want: "goaway 0 FRAME_SIZE_ERROR",
	},
	{
		name: "9113-6.5 an acknowledgement of SETTINGS with a payload",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(http2.FrameSettings, http2.FlagSettingsAck, 0, make([]byte, 6))
		},
		want: "goaway 0 FRAME_SIZE_ERROR",
	},
	{
		name: "9113-6.5.2 an initial window above 2^31-1",
		send: func(c *rawClient) {
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 31})
		},
		want: "goaway 0 FLOW_CONTROL_ERROR",
	},
	{
		name: "9113-6.5.2 a frame size below 2^14",
		send: func(c *rawClient) {
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingMaxFrameSize, Val: 100})
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-6.5.2 ENABLE_PUSH other than 0 and 1",
		send: func(c *rawClient) {
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingEnablePush, Val: 2})
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-6.5.2 a frame size above 2^24-1",
		send: func(c *rawClient) {
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingMaxFrameSize, Val: 1 << 24})
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-6.5.2 the largest initial window",
		send: func(c *rawClient) {
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1<<31 - 1})
			c.request(1, "GET", "/big", true)
		},
		want: "data 1 16384",
	},
	{
		name: "9113-6.5.2 a header table of size 0",
		send: func(c *rawClient) {
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingHeaderTableSize, Val: 0})
			c.request(1, "GET", "/", true)
		},
		want: "headers 1 200",
	},
	{
		name: "9113-6.5.2 a header table larger than that of the server",
		send: func(c *rawClient) {
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingHeaderTableSize, Val: 1 << 30})
			c.request(1, "GET", "/", true)
		},
		want: "headers 1 200",
	},
	{
		name: "9113-6.5.3 SETTINGS are acknowledged",
		send: func(c *rawClient) {},
		want: "settings ack",
	},
	{
		name: "9113-6.5.3 several settings in one frame",
		send: func(c *rawClient) {
			c.framer.WriteSettings(
				http2.Setting{ID: http2.SettingMaxFrameSize, Val: 20000},
				http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 20},
			)
			c.request(1, "GET", "/big", true)
		},
		want: "data 1 20000",
	},
	{
		name: "9113-6.6 PUSH_PROMISE from a client",
		send: func(c *rawClient) {
			c.framer.WritePushPromise(http2.PushPromiseParam{StreamID: 1, PromiseID: 2, EndHeaders: true})
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-6.7 PING is answered",
		send: func(c *rawClient) {
			c.framer.WritePing(false, [8]byte{1})
		},
		want: "ping",
	},
	{
		name: "9113-6.7 PING on a stream",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(http2.FramePing, 0, 1, make([]byte, 8))
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-6.7 PING of a wrong length",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(http2.FramePing, 0, 0, make([]byte, 7))
		},
		want: "goaway 0 FRAME_SIZE_ERROR",
	},
	{
		name: "9113-6.7 an unsolicited acknowledgement of PING is ignored",
		send: func(c *rawClient) {
			c.framer.WritePing(true, [8]byte{})
			c.request(1, "GET", "/", true)
		},
		want: "headers 1 200",
	},
	{
		name: "9113-6.8 GOAWAY on a stream",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(http2.FrameGoAway, 0, 1, make([]byte, 8))
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-6.8 GOAWAY from a client does not end its streams",
		send: func(c *rawClient) {
			c.framer.WriteGoAway(0, http2.ErrCodeNo, nil)
			c.request(1, "GET", "/", true)
		},
		want: "headers 1 200",
	},
	{
		name: "9113-6.9 a window increment of 0 on a stream",
		send: func(c *rawClient) {
			c.request(1, "GET", "/slow", true)
			c.framer.WriteRawFrame(http2.FrameWindowUpdate, 0, 1, make([]byte, 4))
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-6.9 a window increment of 0 on the connection",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(http2.FrameWindowUpdate, 0, 0, make([]byte, 4))
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-6.9 WINDOW_UPDATE of a wrong length",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(http2.FrameWindowUpdate, 0, 0, make([]byte, 3))
		},
		want: "goaway 0 FRAME_SIZE_ERROR",
	},
	{
		name: "9113-6.9.1 a stream's window overflows",
		send: func(c *rawClient) {
			c.request(1, "GET", "/slow", true)
			c.framer.WriteWindowUpdate(1, 1<<31-1)
		},
		want: "rst 1 FLOW_CONTROL_ERROR",
	},
	{
		name: "9113-6.9.1 the connection's window overflows",
		send: func(c *rawClient) {
			c.framer.WriteWindowUpdate(0, 1<<31-1)
		},
		want: "goaway 0 FLOW_CONTROL_ERROR",
	},
	{
		name: "9113-6.9.1 a window of one byte",
		send: func(c *rawClient) {
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1})
			c.request(1, "GET", "/big", true)
		},
		want: "data 1 1",
	},
	{
		name: "9113-6.9.2 a new initial window overflows a stream's window",
		send: func(c *rawClient) {
			c.request(1, "GET", "/slow", true)
			c.framer.WriteWindowUpdate(1, 1<<31-1-64<<10)
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1<<31 - 1})
		},
		want: "goaway 1 FLOW_CONTROL_ERROR",
	},
	{
		name: "9113-6.9.2 an initial window of 0 holds back the body only",
		send: func(c *rawClient) {
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
			c.request(1, "GET", "/big", true)
		},
		want: "headers 1 200",
	},
	{
		name: "9113-6.9.2 a smaller initial window also applies to open streams",
		send: func(c *rawClient) {
			c.request(1, "GET", "/slow", true)
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 100})
			c.request(3, "GET", "/big", true)
		},
		want: "data 3 100",
	},
	{
		name: "9113-6.9.2 a new initial window raises a stream's window",
		send: func(c *rawClient) {
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
			c.request(1, "GET", "/big", true)
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 7})
		},
		want: "data 1 7",
	},
	{
		name: "9113-6.9.3 WINDOW_UPDATE raises a stream's window",
		send: func(c *rawClient) {
			c.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
			c.request(1, "GET", "/big", true)
			c.framer.WriteWindowUpdate(1, 3000)
		},
		want: "data 1 3000",
	},
	{
		name: "9113-6.10 CONTINUATION without HEADERS",
		send: func(c *rawClient) {
			c.framer.WriteContinuation(1, true, []byte("x"))
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-6.10 HEADERS interrupted by another frame",
		send: func(c *rawClient) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID:      1,
				BlockFragment: []byte{0x82},
			})
			c.framer.WritePing(false, [8]byte{})
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-6.10 CONTINUATION on stream 0",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(http2.FrameContinuation, 0, 0, []byte{0x82})
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
}
