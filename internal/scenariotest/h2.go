package scenariotest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// H2 is the Speech of HTTP/2, frame by frame, so that what is rude can be said, too:
//
//	preface                            the client's, with its SETTINGS
//	headers 1 end GET /path name=value a field section; without end, more is to come
//	data 1 end text                    a part of a body
//	rst 1 CANCEL                       RST_STREAM
//	window 1 100                       WINDOW_UPDATE; stream 0 is the connection
//	settings window=0 frame=16384      SETTINGS
//	ping, goaway 0 NO_ERROR, raw HEX   other frames
//
// What is heard is told in the same words; SETTINGS, WINDOW_UPDATE and acknowledgements of the server are passed over. Of an
// answer's fields the status and those in Shows are told. It is used by pointer, as it keeps what HPACK needs for each connection.
type H2 struct {
	Shows []string // names of fields, in lower case

	mu      sync.Mutex
	readers map[*bufio.Reader]*http2.Framer
}

var settingNames = map[string]http2.SettingID{"window": http2.SettingInitialWindowSize, "frame": http2.SettingMaxFrameSize,
	"table": http2.SettingHeaderTableSize, "streams": http2.SettingMaxConcurrentStreams}

var codeNames = func() map[string]http2.ErrCode {
	names := map[string]http2.ErrCode{}
	for code := http2.ErrCodeNo; code <= http2.ErrCodeHTTP11Required; code++ {
		names[code.String()] = code
	}
	return names
}()

// Write sends a frame.
func (h *H2) Write(w io.Writer, words string) error {
	parts := strings.Fields(words)
	if parts[0] == "preface" {
		if _, err := io.WriteString(w, http2.ClientPreface); err != nil {
			return err
		}
		return http2.NewFramer(w, nil).WriteSettings()
	}
	framer := http2.NewFramer(w, nil)
	framer.AllowIllegalWrites = true
	stream := uint32(0)
	if len(parts) > 1 {
		if n, err := strconv.ParseUint(parts[1], 10, 32); err == nil {
			stream, parts = uint32(n), slices.Delete(parts, 1, 2)
		}
	}
	end := len(parts) > 1 && parts[1] == "end"
	if end {
		parts = slices.Delete(parts, 1, 2)
	}
	rest := parts[1:]
	switch parts[0] {
	case "headers":
		return framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: fieldSection(rest), EndStream: end, EndHeaders: true})
	case "data":
		return framer.WriteData(stream, end, []byte(strings.Join(rest, " ")))
	case "rst":
		return framer.WriteRSTStream(stream, codeNames[rest[0]])
	case "window":
		n, err := strconv.ParseUint(rest[0], 10, 31)
		if err != nil {
			return err
		}
		return framer.WriteWindowUpdate(stream, uint32(n))
	case "settings":
		var all []http2.Setting
		for _, part := range rest {
			name, value, _ := strings.Cut(part, "=")
			n, err := strconv.ParseUint(value, 10, 32)
			if err != nil {
				return err
			}
			all = append(all, http2.Setting{ID: settingNames[name], Val: uint32(n)})
		}
		return framer.WriteSettings(all...)
	case "ping":
		return framer.WritePing(false, [8]byte{})
	case "goaway":
		return framer.WriteGoAway(stream, codeNames[rest[0]], nil)
	}
	return fmt.Errorf("no frame %q", parts[0])
}

// fieldSection encodes METHOD PATH name=value … without a dynamic table, so that no state is kept.
func fieldSection(words []string) []byte {
	var block bytes.Buffer
	e := hpack.NewEncoder(&block)
	e.SetMaxDynamicTableSize(0)
	if len(words) > 1 && !strings.Contains(words[0], "=") {
		for _, f := range [][2]string{{":method", words[0]}, {":scheme", "http"}, {":path", words[1]}, {":authority", "origin.svc"}} {
			e.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
		}
		words = words[2:]
	}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		e.WriteField(hpack.HeaderField{Name: strings.ToLower(name), Value: value})
	}
	return block.Bytes()
}

// Read takes a frame.
func (h *H2) Read(r *bufio.Reader) (string, error) {
	h.mu.Lock()
	framer := h.readers[r]
	if framer == nil {
		if h.readers == nil {
			h.readers = map[*bufio.Reader]*http2.Framer{}
		}
		framer = http2.NewFramer(io.Discard, r)
		framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
		h.readers[r] = framer
	}
	h.mu.Unlock()
	for {
		f, err := framer.ReadFrame()
		if err != nil {
			return "", err
		}
		switch f := f.(type) {
		case *http2.MetaHeadersFrame:
			words := []string{"headers", fmt.Sprint(f.StreamID)}
			if f.StreamEnded() {
				words = append(words, "end")
			}
			words = append(words, f.PseudoValue("status"))
			for _, name := range h.Shows {
				for _, field := range f.RegularFields() {
					if field.Name == name {
						words = append(words, name+"="+field.Value)
					}
				}
			}
			return strings.Join(words, " "), nil
		case *http2.DataFrame:
			end := ""
			if f.StreamEnded() {
				end = "end "
			}
			return fmt.Sprintf("data %d %s%s", f.StreamID, end, strings.TrimSpace(string(f.Data()))), nil
		case *http2.RSTStreamFrame:
			return fmt.Sprintf("rst %d %s", f.StreamID, f.ErrCode), nil
		case *http2.GoAwayFrame:
			return fmt.Sprintf("goaway %d %s", f.LastStreamID, f.ErrCode), nil
		case *http2.PingFrame:
			return "ping", nil
		}
	}
}
