package h2frontend

import (
	"log/slog"
	"net"
	"os/exec"
	"strings"
	"sync"
	"testing"
)

// A client that nobody here wrote, over a real socket. It is skipped where the machine has none.
func TestCurl(t *testing.T) {
	curl, err := exec.LookPath("curl")
	if err != nil {
		t.Skip("no curl here")
	}
	if out, err := exec.Command(curl, "--version").Output(); err != nil || !strings.Contains(string(out), "HTTP2") {
		t.Skip("this curl has no HTTP/2")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(Options{Carrier: &carrier{seen: map[string]int{}}, Admission: admits, MaxHeaderBytes: 16 << 10, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() { s.Serve(l) })
	// One request each: curl 7.88 fails on a connection that it uses again with prior knowledge, before any server.
	for _, one := range [][2]string{{"/a", "hello 2 200"}, {"/big", strings.Repeat("b", 256<<10) + " 2 200"}} {
		out, err := exec.Command(curl, "-sS", "--max-time", "20", "--noproxy", "*", "--http2-prior-knowledge", "-w", " %{http_version} %{http_code}",
			"-X", "PUT", "-d", "hello", "http://"+l.Addr().String()+one[0]).CombinedOutput()
		if err != nil || string(out) != one[1] {
			t.Errorf("%s: %v: %.200q, want %.200q", one[0], err, out, one[1])
		}
	}
	l.Close()
	s.Shutdown(t.Context())
	serving.Wait()
}
