package h2frontend

import (
	"golang.org/x/net/http2"
)

// connectionConformance covers frames and streams in general (RFC 9113, sections 4 and 5).
var connectionConformance = []conformanceCase{
	{
		name: "9113-4.1 an unknown frame is ignored",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(0xee, 0, 0, []byte("x"))
			c.request(1, "GET", "/", true)
		},
		want: "headers 1 200",
	},
	{
		name: "9113-4.1 unused flags are ignored",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(http2.FramePing, 0xf0, 0, make([]byte, 8))
		},
		want: "ping",
	},
	{
		name: "9113-4.2 DATA longer than allowed",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(http2.FrameData, 0, 1, make([]byte, 16<<10+1))
		},
		want: "goaway 0 FRAME_SIZE_ERROR",
	},
	{
		name: "9113-4.2 HEADERS longer than allowed",
		send: func(c *rawClient) {
			c.framer.WriteRawFrame(http2.FrameHeaders, 4, 1, make([]byte, 16<<10+1))
		},
		want: "goaway 0 FRAME_SIZE_ERROR",
	},
	{
		name: "9113-4.3 a field block that can't be decoded",
		send: func(c *rawClient) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID:      1,
				BlockFragment: []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
				EndHeaders:    true,
			})
		},
		want: "goaway 0 COMPRESSION_ERROR",
	},
	{
		name: "9113-4.3 a field section in many frames",
		send: func(c *rawClient) {
			block := c.encode(minimalRequest...)
			c.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID:  1,
				EndStream: true,
			})
			for i := range block {
				c.framer.WriteContinuation(1, i == len(block)-1, block[i:i+1])
			}
		},
		want: "headers 1 200",
	},
	{
		name: "9113-5.1 DATA on an idle stream",
		send: func(c *rawClient) {
			c.framer.WriteData(1, true, []byte("x"))
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-5.1 RST_STREAM on an idle stream",
		send: func(c *rawClient) {
			c.framer.WriteRSTStream(1, http2.ErrCodeCancel)
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-5.1 WINDOW_UPDATE on an idle stream",
		send: func(c *rawClient) {
			c.framer.WriteWindowUpdate(1, 100)
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-5.1 DATA after END_STREAM",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/slow", true)
			c.framer.WriteData(1, true, []byte("x"))
		},
		want: "rst 1 STREAM_CLOSED",
	},
	{
		name: "9113-5.1 HEADERS after END_STREAM",
		send: func(c *rawClient) {
			c.request(1, "GET", "/slow", true)
			c.request(1, "GET", "/", true)
		},
		want: "goaway 1 STREAM_CLOSED",
	},
	{
		name: "9113-5.1 WINDOW_UPDATE after the response",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true)
			c.expect("headers 1")
			c.framer.WriteWindowUpdate(1, 100)
			c.request(3, "GET", "/", true)
		},
		want: "headers 3 200",
	},
	{
		name: "9113-5.1 RST_STREAM after the response",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true)
			c.expect("headers 1")
			c.framer.WriteRSTStream(1, http2.ErrCodeCancel)
			c.request(3, "GET", "/", true)
		},
		want: "headers 3 200",
	},
	{
		name: "9113-5.1 PRIORITY after the response",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true)
			c.expect("headers 1")
			c.framer.WritePriority(1, http2.PriorityParam{})
			c.request(3, "GET", "/", true)
		},
		want: "headers 3 200",
	},
	{
		name: "9113-5.1 DATA after a reset by the server is ignored",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false, "connection", "x")
			c.framer.WriteData(1, true, []byte("x"))
			c.request(3, "GET", "/", true)
		},
		want: "headers 3 200",
	},
	{
		name: "9113-5.1.1 a stream with an even ID",
		send: func(c *rawClient) {
			c.request(2, "GET", "/", true)
		},
		want: "goaway 0 PROTOCOL_ERROR",
	},
	{
		name: "9113-5.1.1 a stream ID below the highest",
		send: func(c *rawClient) {
			c.request(5, "GET", "/slow", true)
			c.request(3, "GET", "/", true)
		},
		want: "goaway 5 STREAM_CLOSED",
	},
	{
		name: "9113-5.1.1 skipped stream IDs are closed",
		send: func(c *rawClient) {
			c.request(9, "GET", "/", true)
			c.request(7, "GET", "/", true)
		},
		want: "goaway 9 STREAM_CLOSED",
	},
	{
		name: "9113-5.1.2 more streams than allowed",
		send: func(c *rawClient) {
			for id := uint32(1); id <= 201; id += 2 {
				c.request(id, "GET", "/slow", true)
			}
		},
		want: "rst 201 REFUSED_STREAM",
	},
	{
		name: "9113-5.1.2 a new stream after others have ended",
		send: func(c *rawClient) {
			for id := uint32(1); id <= 199; id += 2 {
				c.request(id, "GET", "/slow", true)
			}
			c.expect("headers 199")
			c.request(201, "GET", "/", true)
		},
		want: "headers 201 200",
	},
	{
		name: "9113-5.4.1 a stream error does not affect other streams",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, "connection", "x")
			c.request(3, "GET", "/", true)
		},
		want: "headers 3 200",
	},
	{
		name: "9113-5.5 an unknown setting is ignored",
		send: func(c *rawClient) {
			c.framer.WriteSettings(http2.Setting{ID: 0xee, Val: 1})
		},
		want: "settings ack",
	},
}
