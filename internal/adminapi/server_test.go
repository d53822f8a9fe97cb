package adminapi

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
)

// fixedController is ready and fails each change of a node.
type fixedController struct{ nodeError error }

func (fixedController) Ready() bool                    { return true }
func (c fixedController) TakeNodeOffline(string) error { return c.nodeError }
func (c fixedController) TakeNodeOnline(string) error  { return c.nodeError }
func (fixedController) LeaveService()                  {}
func (fixedController) EnterService()                  {}

// startServer starts a server on a loopback address and closes it at the end of the test.
func startServer(t *testing.T, controller Controller) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(controller, l, slog.New(slog.DiscardHandler))
	go server.Serve()
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// callOnce makes a call on a connection of its own and returns the answer.
func callOnce(t *testing.T, method, url string) (status int, body string) {
	t.Helper()
	request, err := http.NewRequest(method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

// Callers that send nothing, or half a call, hold more connections than the server may have open. Another call must be
// answered nevertheless, and without waiting for their timeout.
func TestSilentCallersKeepNobodyOut(t *testing.T) {
	address := startServer(t, fixedController{})
	for i := range 3 * MaxConnections {
		silent, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer silent.Close()
		if i%2 == 0 {
			io.WriteString(silent, "POST /control/in-ser")
		}
		began := time.Now()
		status, body := callOnce(t, http.MethodGet, "http://"+address+"/control/ready")
		if status != http.StatusOK || time.Since(began) >= time.Second {
			t.Fatalf("beside %d silent callers: status %d, %s, after %v", i+1, status, body, time.Since(began))
		}
	}
}

// Errors of a Controller become answers that name the reason.
func TestNodeErrors(t *testing.T) {
	for _, test := range []struct {
		err    error
		status int
		body   string
	}{
		{nil, 200, `{"reason":"done"}`},
		{ErrUnknownNode, 404, `{"reason":"node was never listed"}`},
		{errors.New("disk is full"), 500, `{"reason":"disk is full"}`},
	} {
		t.Run(fmt.Sprint(test.err), func(t *testing.T) {
			address := startServer(t, fixedController{nodeError: test.err})
			status, body := callOnce(t, http.MethodPost, "http://"+address+"/control/storage-nodes/n/offline")
			if status != test.status || body != test.body+"\n" {
				t.Errorf("got %d %s, want %d %s", status, body, test.status, test.body)
			}
		})
	}
}
