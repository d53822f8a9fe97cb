package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"reachpulley/examples"
)

// loggingGateway is a gateway that serves in this process.
type loggingGateway struct {
	log    *bufio.Scanner
	exited chan int
}

// startGateway starts a gateway by the environment of the process.
func startGateway() *loggingGateway {
	log, out := io.Pipe()
	g := &loggingGateway{log: bufio.NewScanner(log), exited: make(chan int, 1)}
	go func() {
		g.exited <- run(nil, environment{stderr: out, getenv: os.Getenv})
		out.Close()
	}()
	return g
}

// waitForLine reads the log up to a line that contains all of some parts.
func (g *loggingGateway) waitForLine(t *testing.T, parts ...string) {
	t.Helper()
	for g.log.Scan() {
		line := g.log.Text()
		isMissing := func(part string) bool { return !strings.Contains(line, part) }
		if !slices.ContainsFunc(parts, isMissing) {
			return
		}
	}
	t.Fatalf("not in the log: %s", parts)
}

// waitForExit waits for the end after a signal to stop.
func (g *loggingGateway) waitForExit(t *testing.T) {
	t.Helper()
	if code := <-g.exited; code != exitSuccess {
		t.Errorf("exit code %d", code)
	}
}

func sendSignal(signal syscall.Signal) { syscall.Kill(os.Getpid(), signal) }

// onlyFile returns the one file that matches a pattern.
func onlyFile(t *testing.T, pattern string) string {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) != 1 {
		t.Fatal(paths, err)
	}
	return paths[0]
}

// expectReplay checks that a capture replays as it was recorded.
func expectReplay(t *testing.T, path string) {
	t.Helper()
	code, stdout, stderr := runCommand(t, nil, "replay", path)
	if code != exitSuccess || !strings.Contains(stdout, "replayed twice, every action as recorded") {
		t.Errorf("%d\n%s\n%s", code, stdout, stderr)
	}
}

// signalledGateway is the configuration of the gateway of TestSignals.
type signalledGateway struct {
	configPath string
	captures   string // directory
	settings   json.RawMessage
}

// newSignalledGateway writes the configuration and sets the environment.
func newSignalledGateway(t *testing.T) signalledGateway {
	t.Helper()
	var example struct{ Settings json.RawMessage }
	if err := json.Unmarshal(examples.Config(), &example); err != nil {
		t.Fatal(err)
	}
	g := signalledGateway{
		configPath: filepath.Join(t.TempDir(), "config.json"),
		captures:   t.TempDir(),
		settings:   example.Settings,
	}
	operator := fmt.Sprintf(`[capture]
memory_kb = 1024
directory = %q
disk_mb = 16
[[capture.trigger]]
name = "always"
when = "arrived == 0"
quiet = "1h"
[restart]
directory = %q
`, g.captures, g.captures)
	t.Setenv("BALANCER_OPERATOR", writeFile(t, "operator.toml", operator))
	t.Setenv("BALANCER_CONFIG", g.configPath)
	t.Setenv("BALANCER_DISCOVERY", "127.0.0.1:1") // as at the start; the file takes precedence at a reload
	g.writeConfig(t, "127.0.0.1:1")
	return g
}

func (g signalledGateway) writeConfig(t *testing.T, discovery string) {
	t.Helper()
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"limits":{"cores":4,"memory_mb":4096},"settings":%s,`+
		`"known":{"seq":1,"whole":true,"hosts":[]}}`, discovery, g.settings)
	if err := os.WriteFile(g.configPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// The program handles SIGHUP, which would end it otherwise, and takes over what the file says by then. On SIGUSR2 it
// writes a capture. Its next incarnation starts from the state that it saved.
func TestSignals(t *testing.T) {
	configured := newSignalledGateway(t)
	g := startGateway()
	g.waitForLine(t, `"msg":"serving"`)
	configured.writeConfig(t, "here")
	sendSignal(syscall.SIGHUP)
	g.waitForLine(t, "configuration rejected", "discovery: ")
	configured.writeConfig(t, "127.0.0.1:2")
	sendSignal(syscall.SIGHUP)
	g.waitForLine(t, "discovery address changed", `"to":"127.0.0.1:2"`)
	g.waitForLine(t, "configuration reloaded")

	sendSignal(syscall.SIGUSR2)
	g.waitForLine(t, "capture written")
	expectReplay(t, onlyFile(t, filepath.Join(configured.captures, "*-asked.capture")))
	code, _, stderr := runCommand(t, nil, "replay", configured.configPath)
	if code != exitUsage || !strings.Contains(stderr, "capture: not a capture file") {
		t.Errorf("%d\n%s", code, stderr)
	}
	g.waitForLine(t, "capture written", `"trigger":"always"`) // a second after the start

	sendSignal(syscall.SIGTERM)
	g.waitForLine(t, `"msg":"stopped"`)
	expectReplay(t, onlyFile(t, filepath.Join(configured.captures, "*.segment")))
	g.waitForExit(t)

	next := startGateway()
	next.waitForLine(t, "restored state from previous incarnation")
	next.waitForLine(t, `"msg":"serving"`)
	sendSignal(syscall.SIGTERM)
	next.waitForLine(t, `"msg":"stopped"`)
	next.waitForExit(t)
}
