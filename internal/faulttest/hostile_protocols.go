package faulttest

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"reachpulley/internal/proto/iscsi"
)

const (
	openStreams     = 99  // of a hostile HTTP/2 connection
	shortFields     = 400 // of each of its requests
	dataFrameSize   = 16 << 10
	streamBody      = 60 << 10
	streamsInWindow = 4 // whose bodies fit into the window of a connection
	iscsiTarget     = "iqn.2026-11.hr.gradilisni-sat:gateway"
	blockSize       = 512
	writeBlocks     = 128 // of each WRITE, the most that a command may transfer
	outstandingTags = 60  // WRITEs of a hostile iSCSI session
	framesBehind    = 200 // that a leaving client sends behind its request
)

// beginHTTP2 sends the preface of an HTTP/2 connection and returns what writes its frames.
func beginHTTP2(conn net.Conn) *http2.Framer {
	discardAnswers(conn)
	io.WriteString(conn, http2.ClientPreface)
	framer := http2.NewFramer(conn, strings.NewReader(""))
	framer.WriteSettings()
	return framer
}

// field is a field of a request over HTTP/2.
type field struct{ name, value string }

// requestFields returns the fields that every request has.
func requestFields(method string) []field {
	return []field{
		{":method", method}, {":scheme", "http"}, {":authority", "h"}, {":path", "/api/00000003b4d60021/7f3a9c21e0b4d655"},
	}
}

// encodeFields returns an encoded field section.
func encodeFields(fields []field) []byte {
	var block strings.Builder
	encoder := hpack.NewEncoder(&block)
	for _, f := range fields {
		encoder.WriteField(hpack.HeaderField{Name: f.name, Value: f.value})
	}
	return []byte(block.String())
}

// fieldSection returns an encoded field section of a write with many short fields.
func fieldSection() []byte {
	return encodeFields(append(requestFields("PUT"), slices.Repeat([]field{{"a", "b"}}, shortFields)...))
}

// unfinishedStreams opens as many streams as a connection may have, each with many short fields, and ends none.
func unfinishedStreams(_ context.Context, conn net.Conn) {
	framer := beginHTTP2(conn)
	block := fieldSection()
	for i := range openStreams {
		framer.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*i + 1), BlockFragment: block, EndHeaders: true})
	}
	awaitEnd(conn)
}

// unfinishedStreamBodies sends most of a large body on as many streams as the windows allow, and ends none.
func unfinishedStreamBodies(_ context.Context, conn net.Conn) {
	framer := beginHTTP2(conn)
	block := fieldSection()
	for i := range streamsInWindow {
		id := uint32(2*i + 1)
		framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block, EndHeaders: true})
		for sent := 0; sent < streamBody; sent += dataFrameSize {
			if framer.WriteData(id, false, make([]byte, min(dataFrameSize, streamBody-sent))) != nil {
				return
			}
		}
	}
	awaitEnd(conn)
}

// unfinishedFieldSection begins a field section that goes on in frames that do not come.
func unfinishedFieldSection(_ context.Context, conn net.Conn) {
	framer := beginHTTP2(conn)
	framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: fieldSection()})
	awaitEnd(conn)
}

// unfinishedWrites logs in as an iSCSI initiator and sends WRITEs with most of their data, and never the rest.
func unfinishedWrites(_ context.Context, conn net.Conn) {
	if !loginISCSI(conn) {
		return
	}
	for i := range uint32(outstandingTags) {
		command := iscsi.NewPDU(iscsi.SCSICommand, iscsi.Final|iscsi.Write)
		command.Set(iscsi.InitiatorTaskTag, i+1).Set(iscsi.CmdSN, i).Set(iscsi.ExpectedLength, writeBlocks*blockSize)
		copy(command.CDB()[:], []byte{0x2a, 0, 0, 0, 0, byte(i), 0, 0, writeBlocks})
		command.Data = make([]byte, streamBody)
		if _, err := conn.Write(command.Bytes()); err != nil {
			return
		}
	}
	awaitEnd(conn)
}

// http2Read sends a read over HTTP/2 and then many frames of an unknown type, which are ignored.
func http2Read(conn net.Conn) {
	const ignoredType = 0xee
	framer := beginHTTP2(conn)
	fields := append(requestFields("GET"), field{"x-request-id", newID()}, field{"x-class", "sheet-read"},
		field{"x-qos-policy", "standard"}, field{"x-deadline", "1500m"}, field{"x-placement", "units=1,shard=0,hosts=1"})
	framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID:      1,
		BlockFragment: encodeFields(fields),
		EndStream:     true,
		EndHeaders:    true,
	})
	for range framesBehind {
		if framer.WriteRawFrame(ignoredType, 0, 0, make([]byte, dataFrameSize)) != nil {
			return
		}
	}
}

// iscsiRead logs in, sends a READ and then many pings with data that ask for no answer.
func iscsiRead(conn net.Conn) {
	if !loginISCSI(conn) {
		return
	}
	command := iscsi.NewPDU(iscsi.SCSICommand, iscsi.Final|iscsi.Read)
	command.Set(iscsi.InitiatorTaskTag, 1).Set(iscsi.ExpectedLength, blockSize)
	copy(command.CDB()[:], []byte{0x28, 0, 0, 0, 0, 0, 0, 0, 1})
	conn.Write(command.Bytes())
	ping := iscsi.NewPDU(iscsi.NopOut, iscsi.Final).SetImmediate()
	ping.Set(iscsi.InitiatorTaskTag, iscsi.NoTag).Set(iscsi.TargetTransferTag, iscsi.NoTag)
	ping.Data = make([]byte, dataFrameSize)
	for range framesBehind {
		if _, err := conn.Write(ping.Bytes()); err != nil {
			return
		}
	}
}

// loginISCSI logs in as an initiator of its own, and reports whether that succeeded. Answers are dropped from then on.
func loginISCSI(conn net.Conn) bool {
	login := iscsi.NewPDU(iscsi.LoginRequest, iscsi.Transit|iscsi.OperationalStage<<2|iscsi.FullFeature).SetImmediate()
	login.Data = []byte(fmt.Sprintf("InitiatorName=iqn.%s\x00SessionType=Normal\x00TargetName=%s\x00", newID(), iscsiTarget))
	conn.Write(login.Bytes())
	if _, err := iscsi.ReadPDU(conn, dataFrameSize); err != nil {
		return false
	}
	discardAnswers(conn)
	return true
}

// http2Flood returns a client that sends frames at full speed on one connection. Each call of send gets the ID of a new
// stream.
func http2Flood(send func(framer *http2.Framer, streamID uint32) error) Hostile {
	return func(_ context.Context, conn net.Conn) {
		framer := beginHTTP2(conn)
		for streamID := uint32(1); send(framer, streamID) == nil; streamID += 2 {
		}
	}
}

// Frames of floods.
func sendInvalidRequest(framer *http2.Framer, streamID uint32) error {
	return framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID: streamID, BlockFragment: encodeFields(requestFields("GET")), EndStream: true, EndHeaders: true,
	})
}

func sendRequestOfManyFields(framer *http2.Framer, streamID uint32) error {
	return framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID: streamID, BlockFragment: fieldSection(), EndStream: true, EndHeaders: true,
	})
}

func sendCanceledRequest(framer *http2.Framer, streamID uint32) error {
	if err := sendInvalidRequest(framer, streamID); err != nil {
		return err
	}
	return framer.WriteRSTStream(streamID, http2.ErrCodeCancel)
}

func sendPing(framer *http2.Framer, _ uint32) error { return framer.WritePing(false, [8]byte{}) }

func sendEmptyUnknownFrame(framer *http2.Framer, _ uint32) error {
	return framer.WriteRawFrame(0xee, 0, 0, nil)
}

// iscsiFlood returns a client that logs in and sends PDUs at full speed.
func iscsiFlood(pdu func(number uint32) *iscsi.PDU) Hostile {
	return func(_ context.Context, conn net.Conn) {
		if !loginISCSI(conn) {
			return
		}
		for number := uint32(0); ; number++ {
			if _, err := conn.Write(pdu(number).Bytes()); err != nil {
				return
			}
		}
	}
}

// PDUs of floods.
func iscsiPing(number uint32) *iscsi.PDU {
	ping := iscsi.NewPDU(iscsi.NopOut, iscsi.Final).SetImmediate()
	return ping.Set(iscsi.InitiatorTaskTag, number+1).Set(iscsi.TargetTransferTag, iscsi.NoTag)
}

func iscsiTestUnitReady(number uint32) *iscsi.PDU {
	command := iscsi.NewPDU(iscsi.SCSICommand, iscsi.Final)
	command.Set(iscsi.InitiatorTaskTag, number+1).Set(iscsi.CmdSN, number)
	command.CDB()[0] = iscsi.TestUnitReady
	return command
}

func iscsiInvalidRead(number uint32) *iscsi.PDU {
	command := iscsi.NewPDU(iscsi.SCSICommand, iscsi.Final|iscsi.Read)
	command.Set(iscsi.InitiatorTaskTag, number+1).Set(iscsi.CmdSN, number).Set(iscsi.ExpectedLength, blockSize)
	copy(command.CDB()[:], []byte{0x28, 0, 0xff, 0xff, 0xff, 0xff, 0, 0, 1}) // beyond the last block
	return command
}
