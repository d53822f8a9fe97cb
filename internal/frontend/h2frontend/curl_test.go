package h2frontend

import (
	"log/slog"
	"net"
	"os/exec"
	"strings"
	"sync"
	"testing"
)

// TestCurl checks the frontend with an independent client over a real socket. It is skipped where curl is missing or
// does not support HTTP/2.
func TestCurl(t *testing.T) {
	curl, err := exec.LookPath("curl")
	if err != nil {
		t.Skip("curl is not installed")
	}
	if out, err := exec.Command(curl, "--version").Output(); err != nil || !strings.Contains(string(out), "HTTP2") {
		t.Skip("the installed curl does not support HTTP/2")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(Options{
		Handler:        newEchoHandler(),
		Admission:      testAdmission,
		MaxHeaderBytes: testMaxHeaderBytes,
		Log:            slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() { s.Serve(l) })
	// Each run of curl sends only one request: with any server, curl 7.88 fails when it reuses a connection with prior
	// knowledge.
	for _, c := range []struct{ path, want string }{
		{path: "/a", want: "hello 2 200"},
		{path: "/big", want: strings.Repeat("b", 256<<10) + " 2 200"},
	} {
		command := exec.Command(curl, "-sS", "--max-time", "20", "--noproxy", "*", "--http2-prior-knowledge",
			"-w", " %{http_version} %{http_code}", "-X", "PUT", "-d", "hello", "http://"+l.Addr().String()+c.path)
		out, err := command.CombinedOutput()
		if err != nil || string(out) != c.want {
			t.Errorf("curl %s: error %v, output %.200q, want %.200q", c.path, err, out, c.want)
		}
	}
	l.Close()
	s.Shutdown(t.Context())
	serving.Wait()
}
