package scenariotest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// HTTP2 is the Codec of HTTP/2. Each message is a frame, so scripts can also violate the protocol:
//
//	preface                            the client connection preface, with SETTINGS
//	headers 1 end GET /path name=value HEADERS; without end, more frames follow on the stream
//	data 1 end text                    DATA
//	rst 1 CANCEL                       RST_STREAM
//	window 1 100                       WINDOW_UPDATE; stream 0 stands for the connection
//	settings window=0 frame=16384      SETTINGS
//	ping                               PING
//	goaway 0 NO_ERROR                  GOAWAY
//
// Received frames have the same notation. SETTINGS, WINDOW_UPDATE and other types of frames are skipped. HEADERS of a
// response contain the status and the fields in VisibleFields. HTTP2 must be used as a pointer because it keeps the
// HPACK state of each connection.
type HTTP2 struct {
	VisibleFields []string // names of header fields, in lower case

	mu      sync.Mutex
	framers map[*bufio.Reader]*http2.Framer
}

// settingIDsByName maps the names of settings in scripts to their identifiers.
var settingIDsByName = map[string]http2.SettingID{
	"window":  http2.SettingInitialWindowSize,
	"frame":   http2.SettingMaxFrameSize,
	"table":   http2.SettingHeaderTableSize,
	"streams": http2.SettingMaxConcurrentStreams,
}

// errorCodesByName maps the name of an HTTP/2 error code to the code.
var errorCodesByName = func() map[string]http2.ErrCode {
	codes := map[string]http2.ErrCode{}
	for code := http2.ErrCodeNo; code <= http2.ErrCodeHTTP11Required; code++ {
		codes[code.String()] = code
	}
	return codes
}()

// frame is the parsed text of a frame.
type frame struct {
	name      string
	stream    uint32
	end       bool // END_STREAM
	arguments []string
}

func parseFrame(text string) frame {
	parts := strings.Fields(text)
	f := frame{name: parts[0], arguments: parts[1:]}
	if len(f.arguments) > 0 {
		if stream, err := strconv.ParseUint(f.arguments[0], 10, 32); err == nil {
			f.stream = uint32(stream)
			f.arguments = f.arguments[1:]
		}
	}
	if len(f.arguments) > 0 && f.arguments[0] == end {
		f.end = true
		f.arguments = f.arguments[1:]
	}
	return f
}

// Write sends a frame.
func (h *HTTP2) Write(w io.Writer, text string) error {
	f := parseFrame(text)
	framer := http2.NewFramer(w, nil)
	framer.AllowIllegalWrites = true
	switch f.name {
	case "preface":
		if _, err := io.WriteString(w, http2.ClientPreface); err != nil {
			return err
		}
		return framer.WriteSettings()
	case "headers":
		return framer.WriteHeaders(http2.HeadersFrameParam{
			StreamID:      f.stream,
			BlockFragment: fieldBlock(f.arguments),
			EndStream:     f.end,
			EndHeaders:    true,
		})
	case "data":
		return framer.WriteData(f.stream, f.end, []byte(strings.Join(f.arguments, " ")))
	case "rst":
		return framer.WriteRSTStream(f.stream, errorCodesByName[f.arguments[0]])
	case "window":
		increment, err := strconv.ParseUint(f.arguments[0], 10, 31)
		if err != nil {
			return err
		}
		return framer.WriteWindowUpdate(f.stream, uint32(increment))
	case "settings":
		settings, err := parseSettings(f.arguments)
		if err != nil {
			return err
		}
		return framer.WriteSettings(settings...)
	case "ping":
		return framer.WritePing(false, [8]byte{})
	case "goaway":
		return framer.WriteGoAway(f.stream, errorCodesByName[f.arguments[0]], nil)
	}
	return fmt.Errorf("unknown frame %q", f.name)
}

// parseSettings parses words of the form NAME=NUMBER.
func parseSettings(words []string) ([]http2.Setting, error) {
	var settings []http2.Setting
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		number, err := strconv.ParseUint(value, 10, 32)
		if err != nil {
			return nil, err
		}
		settings = append(settings, http2.Setting{ID: settingIDsByName[name], Val: uint32(number)})
	}
	return settings, nil
}

// fieldBlock encodes the words METHOD PATH name=value ... with HPACK. METHOD and PATH may be left out, as in trailers.
// It uses no dynamic table, so no block depends on earlier ones.
func fieldBlock(words []string) []byte {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	encoder.SetMaxDynamicTableSize(0)
	if len(words) > 1 && !strings.Contains(words[0], "=") {
		encoder.WriteField(hpack.HeaderField{Name: ":method", Value: words[0]})
		encoder.WriteField(hpack.HeaderField{Name: ":scheme", Value: "http"})
		encoder.WriteField(hpack.HeaderField{Name: ":path", Value: words[1]})
		encoder.WriteField(hpack.HeaderField{Name: ":authority", Value: testHost})
		words = words[2:]
	}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		encoder.WriteField(hpack.HeaderField{Name: strings.ToLower(name), Value: value})
	}
	return block.Bytes()
}

// Read receives a frame.
func (h *HTTP2) Read(r *bufio.Reader) (string, error) {
	framer := h.framer(r)
	for {
		received, err := framer.ReadFrame()
		if err != nil {
			return "", err
		}
		switch f := received.(type) {
		case *http2.MetaHeadersFrame:
			return h.headerWords(f), nil
		case *http2.DataFrame:
			words := []string{"data", fmt.Sprint(f.StreamID)}
			if f.StreamEnded() {
				words = append(words, end)
			}
			return strings.Join(append(words, strings.TrimSpace(string(f.Data()))), " "), nil
		case *http2.RSTStreamFrame:
			return fmt.Sprintf("rst %d %s", f.StreamID, f.ErrCode), nil
		case *http2.GoAwayFrame:
			return fmt.Sprintf("goaway %d %s", f.LastStreamID, f.ErrCode), nil
		case *http2.PingFrame:
			return "ping", nil
		}
	}
}

// framer returns the framer of a connection, which holds the connection's HPACK state.
func (h *HTTP2) framer(r *bufio.Reader) *http2.Framer {
	h.mu.Lock()
	defer h.mu.Unlock()
	if framer := h.framers[r]; framer != nil {
		return framer
	}
	if h.framers == nil {
		h.framers = map[*bufio.Reader]*http2.Framer{}
	}
	framer := http2.NewFramer(io.Discard, r)
	framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	h.framers[r] = framer
	return framer
}

func (h *HTTP2) headerWords(f *http2.MetaHeadersFrame) string {
	words := []string{"headers", fmt.Sprint(f.StreamID)}
	if f.StreamEnded() {
		words = append(words, end)
	}
	words = append(words, f.PseudoValue("status"))
	for _, name := range h.VisibleFields {
		for _, field := range f.RegularFields() {
			if field.Name == name {
				words = append(words, name+"="+field.Value)
			}
		}
	}
	return strings.Join(words, " ")
}
