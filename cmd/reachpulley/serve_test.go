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

// loggingGateway is a gateway that runs in the process of the test, with its log.
type loggingGateway struct {
	log    *bufio.Scanner
	exited chan int // receives the exit code
}

// startGateway starts a gateway that is configured by the environment of the process.
func startGateway() *loggingGateway {
	log, out := io.Pipe()
	g := &loggingGateway{log: bufio.NewScanner(log), exited: make(chan int, 1)}
	go func() {
		g.exited <- run(nil, environment{stderr: out, getenv: os.Getenv})
		out.Close()
	}()
	return g
}

// waitForLine reads the log up to the first line that contains each of the parts.
func (g *loggingGateway) waitForLine(t *testing.T, parts ...string) {
	t.Helper()
	for g.log.Scan() {
		line := g.log.Text()
		isMissing := func(part string) bool { return !strings.Contains(line, part) }
		if !slices.ContainsFunc(parts, isMissing) {
			return
		}
	}
	t.Fatalf("the log ended without a line that contains %q", parts)
}

// waitForExit waits until the gateway has ended after a signal, and checks its exit code.
func (g *loggingGateway) waitForExit(t *testing.T) {
	t.Helper()
	if code := <-g.exited; code != exitSuccess {
		t.Errorf("exit code %d, want %d", code, exitSuccess)
	}
}

func sendSignal(signal syscall.Signal) { syscall.Kill(os.Getpid(), signal) }

// onlyFile returns the path of the only file that matches a pattern.
func onlyFile(t *testing.T, pattern string) string {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) != 1 {
		t.Fatalf("files that match %q: %q, want one (%v)", pattern, paths, err)
	}
	return paths[0]
}

// expectReplay checks that a capture replays as it was recorded.
func expectReplay(t *testing.T, path string) {
	t.Helper()
	code, stdout, stderr := runCommand(t, nil, "replay", path)
	if code != exitSuccess || !strings.Contains(stdout, "replayed twice, every action as recorded") {
		t.Errorf("replay: exit code %d, want %d\nstdout: %s\nstderr: %s", code, exitSuccess, stdout, stderr)
	}
}

// signalsConfig is the configuration of the gateway in TestSignals.
type signalsConfig struct {
	configPath string
	captures   string // directory
	settings   json.RawMessage
}

// newSignalsConfig writes the configuration files and sets the environment variables that name them.
func newSignalsConfig(t *testing.T) signalsConfig {
	t.Helper()
	var example struct{ Settings json.RawMessage }
	if err := json.Unmarshal(examples.Config(), &example); err != nil {
		t.Fatal(err)
	}
	c := signalsConfig{
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
`, c.captures, c.captures)
	t.Setenv("BALANCER_OPERATOR", writeFile(t, "operator.toml", operator))
	t.Setenv("BALANCER_CONFIG", c.configPath)
	t.Setenv("BALANCER_DISCOVERY", "127.0.0.1:1") // the same as in the file, which takes precedence on a reload
	c.writeConfig(t, "127.0.0.1:1")
	return c
}

// writeConfig writes the configuration file with the given address of the discovery service.
func (c signalsConfig) writeConfig(t *testing.T, discovery string) {
	t.Helper()
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"limits":{"cores":4,"memory_mb":4096},"settings":%s,`+
		`"known":{"seq":1,"whole":true,"hosts":[]}}`, discovery, c.settings)
	if err := os.WriteFile(c.configPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestSignals checks that the gateway reads its configuration again on SIGHUP, which would otherwise end the program,
// that it writes a capture on SIGUSR2, and that its next incarnation starts from the state that it saved.
func TestSignals(t *testing.T) {
	configured := newSignalsConfig(t)
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
		t.Errorf("replay of a file that is no capture: exit code %d, want %d\n%s", code, exitUsage, stderr)
	}
	g.waitForLine(t, "capture written", `"trigger":"always"`) // written a second after the start

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
