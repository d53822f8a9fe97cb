package httpbackend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"
)

const largeContent = 1 << 20 // bytes

func largeResponse() *http.Response {
	return &http.Response{
		ContentLength: largeContent,
		Body:          io.NopCloser(bytes.NewReader(make([]byte, largeContent))),
	}
}

// Guards against large responses that are held for slow clients without being counted, until the process exceeds its
// memory limit: the memory of a response stays reserved as long as the response is in use, and is returned after that.
func TestLargeResponseIsCountedWhileInUse(t *testing.T) {
	memory := newResponseMemory(largeContent)
	held, err := readContent(t.Context(), largeResponse(), memory)
	if err != nil {
		t.Fatal(err)
	}
	short, cancel := context.WithTimeout(t.Context(), 3*collectInterval)
	defer cancel()
	if _, err := readContent(short, largeResponse(), memory); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a second response while the first is in use: error %v, want %v", err, context.DeadlineExceeded)
	}
	runtime.KeepAlive(held)
	held = nil
	long, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if content, err := readContent(long, largeResponse(), memory); err != nil || len(content) != largeContent {
		t.Errorf("a response after the first was dropped: %d bytes and error %v, want %d bytes", len(content), err,
			largeContent)
	}
}

// The memory of a response that fails is returned at once.
func TestFailedResponseReturnsItsMemory(t *testing.T) {
	memory := newResponseMemory(largeContent)
	for range 3 {
		broken := largeResponse()
		broken.Body = io.NopCloser(io.MultiReader(io.LimitReader(broken.Body, largeContent/2), failingReader{}))
		if _, err := readContent(t.Context(), broken, memory); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("error %v, want %v", err, io.ErrUnexpectedEOF)
		}
	}
}

// failingReader is the end of a connection that breaks.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
