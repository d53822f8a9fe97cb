package h2frontend

import (
	"strings"
)

// messageConformance covers requests and responses (RFC 9113, sections 8 and 10).
var messageConformance = []conformanceCase{
	{
		name: "9113-8.1 trailers",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false)
			c.framer.WriteData(1, false, []byte("x"))
			c.fields(1, true, "x-sum", "1")
		},
		want: "headers 1 200",
	},
	{
		name: "9113-8.1 trailers that don't end the stream",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false)
			c.fields(1, false, "x-sum", "1")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.1 pseudo-headers in trailers",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false)
			c.fields(1, true, ":path", "/")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.1 a body without content-length",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false)
			c.framer.WriteData(1, false, []byte("x"))
			c.framer.WriteData(1, true, []byte("y"))
		},
		want: "data 1 2",
	},
	{
		name: "9113-8.1 a body with its content-length",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false, "content-length", "2")
			c.framer.WriteData(1, true, []byte("xy"))
		},
		want: "data 1 2",
	},
	{
		name: "9113-8.1 an early response, before the request is complete",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false, "content-length", "70000")
		},
		want: "headers 1 413",
	},
	{
		name: "9113-8.1 a reset with NO_ERROR after an early response",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false, "content-length", "70000")
		},
		want: "rst 1 NO_ERROR",
	},
	{
		name: "9113-8.1.1 a body shorter than content-length",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false, "content-length", "5")
			c.framer.WriteData(1, true, []byte("x"))
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.1.1 a body longer than content-length",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false, "content-length", "1")
			c.framer.WriteData(1, false, []byte("xx"))
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.1.1 no body despite content-length",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", true, "content-length", "5")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.1.1 two different content-lengths",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false, "content-length", "1", "content-length", "2")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.1.1 a content-length of x",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false, "content-length", "x")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.1.1 a content-length of -1",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false, "content-length", "-1")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.1.1 a content-length of 1.5",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false, "content-length", "1.5")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.1.1 a content-length of 99999999999999999999",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false, "content-length", "99999999999999999999")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.1.1 a content-length of +1",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", false, "content-length", "+1")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.2.1 an uppercase name",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, "X-Upper", "1")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.2.1 a value with a line break",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, "x-a", "a\r\nb")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.2.1 an empty name",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, "", "1")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.2.1 a name with a space",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, "x a", "1")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.2.1 a name with a colon",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, "x:a", "1")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.2.1 a value with a zero byte",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, "x-a", "a\x00b")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.2.2 a connection field",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, "connection", "close")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.2.2 a transfer-encoding field",
		send: func(c *rawClient) {
			c.request(1, "PUT", "/", true, "transfer-encoding", "chunked")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.2.2 an upgrade field",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, "upgrade", "h2c")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.2.2 a te field other than trailers",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, "te", "gzip")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.2.2 a te field of trailers",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, "te", "trailers")
		},
		want: "headers 1 200",
	},
	{
		name: "9113-8.2.2 a keep-alive field",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, "keep-alive", "x")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.2.2 a proxy-connection field",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, "proxy-connection", "x")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.2.3 cookies in several fields",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, "cookie", "a=1", "cookie", "b=2")
		},
		want: "headers 1 200",
	},
	{
		name: "9113-8.3 an unknown pseudo-header",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, ":other", "x")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.3 a pseudo-header after a regular field",
		send: func(c *rawClient) {
			c.fields(1, true, ":method", "GET", "x-a", "1", ":scheme", "http", ":path", "/")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.3 a pseudo-header twice",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, ":path", "/b")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.3 a response's pseudo-header",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, ":status", "200")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.3.1 no :method",
		send: func(c *rawClient) {
			c.fields(1, true, ":scheme", "http", ":path", "/")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.3.1 no :path",
		send: func(c *rawClient) {
			c.fields(1, true, ":method", "GET", ":scheme", "http")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.3.1 an empty :path",
		send: func(c *rawClient) {
			c.request(1, "GET", "", true)
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.3.1 no :scheme",
		send: func(c *rawClient) {
			c.fields(1, true, ":method", "GET", ":path", "/")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.3.1 :method twice",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, ":method", "GET")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.3.1 :scheme twice",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, ":scheme", "http")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.3.1 :authority twice",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, ":authority", "b")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.3.1 an invalid :path",
		send: func(c *rawClient) {
			c.request(1, "GET", "x y", true)
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.3.1 :path * with a method other than OPTIONS",
		send: func(c *rawClient) {
			c.request(1, "GET", "*", true)
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.3.1 host in place of :authority",
		send: func(c *rawClient) {
			c.fields(1, true, ":method", "GET", ":scheme", "http", ":path", "/", "host", "gate")
		},
		want: "headers 1 200",
	},
	{
		name: "9113-8.5 CONNECT",
		send: func(c *rawClient) {
			c.fields(1, true, ":method", "CONNECT", ":authority", "gate:1")
		},
		want: "rst 1 PROTOCOL_ERROR",
	},
	{
		name: "9113-8.7 a refused stream leaves the connection usable",
		send: func(c *rawClient) {
			for id := uint32(1); id <= 201; id += 2 {
				c.request(id, "GET", "/slow", true)
			}
			c.expect("rst 201 REFUSED_STREAM")
			c.expect("headers 199")
			c.request(203, "GET", "/", true)
		},
		want: "headers 203 200",
	},
	{
		name: "9113-10.5.1 a field section longer than announced",
		send: func(c *rawClient) {
			c.request(1, "GET", "/", true, "x-big", strings.Repeat("x", 15<<10), "x-more", strings.Repeat("y", 900))
		},
		want: "headers 1 431",
	},
}
