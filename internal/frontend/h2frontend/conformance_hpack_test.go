package h2frontend

import (
	"golang.org/x/net/http2"
)

// hpackConformance covers the compression of field sections (RFC 7541).
var hpackConformance = []conformanceCase{
	{
		name: "7541-2.3.3 an index beyond the end of the table",
		send: func(c *rawClient) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID:      1,
				BlockFragment: []byte{0xfe},
				EndHeaders:    true,
			})
		},
		want: "goaway 0 COMPRESSION_ERROR",
	},
	{
		name: "7541-4.2 a table size above the announced limit",
		send: func(c *rawClient) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID:      1,
				BlockFragment: []byte{0x3f, 0xe2, 0x7f},
				EndHeaders:    true,
			})
		},
		want: "goaway 0 COMPRESSION_ERROR",
	},
	{
		name: "7541-4.2 a change of the table size between fields",
		send: func(c *rawClient) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID:      1,
				BlockFragment: []byte{0x82, 0x86, 0x84, 0x40, 0x01, 'x', 0x01, 'y', 0x20},
				EndStream:     true,
				EndHeaders:    true,
			})
		},
		want: "goaway 0 COMPRESSION_ERROR",
	},
	{
		name: "7541-5.1 an integer that is too long",
		send: func(c *rawClient) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID:      1,
				BlockFragment: []byte{0x7f, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x01},
				EndHeaders:    true,
			})
		},
		want: "goaway 0 COMPRESSION_ERROR",
	},
	{
		name: "7541-5.2 a string longer than its block",
		send: func(c *rawClient) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID:      1,
				BlockFragment: []byte{0x00, 0x05, 'a'},
				EndHeaders:    true,
			})
		},
		want: "goaway 0 COMPRESSION_ERROR",
	},
	{
		name: "7541-5.2 Huffman padding longer than 7 bits",
		send: func(c *rawClient) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID:      1,
				BlockFragment: []byte{0x00, 0x82, 0x1f, 0xff, 0x01, 'a'},
				EndHeaders:    true,
			})
		},
		want: "goaway 0 COMPRESSION_ERROR",
	},
	{
		name: "7541-6.1 index 0",
		send: func(c *rawClient) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID:      1,
				BlockFragment: []byte{0x80},
				EndHeaders:    true,
			})
		},
		want: "goaway 0 COMPRESSION_ERROR",
	},
	{
		name: "7541-6.1 a valid index into the dynamic table",
		send: func(c *rawClient) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID:      1,
				BlockFragment: []byte{0x82, 0x86, 0x84, 0x40, 0x01, 'x', 0x01, 'y', 0xbe},
				EndStream:     true,
				EndHeaders:    true,
			})
		},
		want: "headers 1 200",
	},
	{
		name: "7541-6.2.2 a literal without indexing",
		send: func(c *rawClient) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID:      1,
				BlockFragment: []byte{0x82, 0x86, 0x84, 0x00, 0x01, 'x', 0x01, 'y'},
				EndStream:     true,
				EndHeaders:    true,
			})
		},
		want: "headers 1 200",
	},
	{
		name: "7541-6.2.3 a never-indexed literal",
		send: func(c *rawClient) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID:      1,
				BlockFragment: []byte{0x82, 0x86, 0x84, 0x10, 0x01, 'x', 0x01, 'y'},
				EndStream:     true,
				EndHeaders:    true,
			})
		},
		want: "headers 1 200",
	},
	{
		name: "7541-6.3 a table size update to 0",
		send: func(c *rawClient) {
			c.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID:      1,
				BlockFragment: []byte{0x20, 0x82, 0x86, 0x84},
				EndStream:     true,
				EndHeaders:    true,
			})
		},
		want: "headers 1 200",
	},
}
