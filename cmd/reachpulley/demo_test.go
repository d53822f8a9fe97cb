package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
)

// TestDemo checks that the commands that the demo prints work as they are printed.
func TestDemo(t *testing.T) {
	stdout, out := io.Pipe()
	exited := make(chan int, 1)
	go func() {
		exited <- run([]string{"demo", "--rules", exampleRules}, environment{
			stdout: out,
			stderr: io.Discard,
			getenv: os.Getenv,
		})
		out.Close()
	}()
	commands := map[string]string{} // by label; the gateway serves as soon as all are printed
	for lines := bufio.NewScanner(stdout); lines.Scan() && !strings.HasPrefix(lines.Text(), "Ctrl-C"); {
		label, _, _ := strings.Cut(lines.Text(), ":")
		commands[label] = lines.Text()
	}
	for _, c := range []struct{ label, want string }{
		{"write", "200 "},
		{"read", "200 crew 7"},
		{"old write", "200 "},
		{"old read", "200 crew 7"},
		{"drain", "200 "},
	} {
		if got := doCurl(t, commands[c.label]); got != c.want {
			t.Errorf("%s: %q, want %q", c.label, got, c.want)
		}
	}
	go io.Copy(io.Discard, stdout)
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	if code := <-exited; code != exitSuccess {
		t.Errorf("exit code %d, want %d", code, exitSuccess)
	}
	http.DefaultClient.CloseIdleConnections()
}

var curlHeader = regexp.MustCompile(`-H '([^:]*): ([^']*)'`)

// doCurl sends the request of a curl command, with a body of its own, and returns the status and the body of the
// response.
func doCurl(t *testing.T, command string) string {
	t.Helper()
	method := http.MethodGet
	var body io.Reader
	if _, after, ok := strings.Cut(command, "-X "); ok {
		method, _, _ = strings.Cut(after, " ")
	}
	if method != http.MethodGet {
		body = strings.NewReader("crew 7")
	}
	request, err := http.NewRequest(method, command[strings.LastIndex(command, "http://"):], body)
	if err != nil {
		t.Fatal(err)
	}
	for _, header := range curlHeader.FindAllStringSubmatch(command, -1) {
		request.Header.Set(header[1], header[2])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(response.Body)
	return fmt.Sprint(response.StatusCode, " ", string(content))
}
