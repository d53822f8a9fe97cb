package faulttest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"reachpulley/examples"
)

const (
	readyTimeout   = 15 * time.Second
	sampleInterval = 10 * time.Millisecond // between two readings of a process's memory
	sharePeriod    = 30 * time.Millisecond // in which a process that has a part of a core runs once
	kilobyte       = 1 << 10
	megabyte       = 1 << 20
)

// Limits are what the platform gives a gateway process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Usage is the most that a process has used so far.
type Usage struct {
	MemoryBytes int64 // anonymous memory
	Descriptors int
}

// Gateway is a gateway process.
type Gateway struct {
	Address string
	limits  Limits

	cmd      *exec.Cmd
	process  *os.Process // of the gateway; if strace runs it, its child
	logPath  string
	ended    chan struct{}
	stopping atomic.Bool // the process was told to end

	mu      sync.Mutex
	usage   Usage
	samples sync.WaitGroup
}

// buildGateway builds the gateway into a directory and returns the path of the program.
func buildGateway(directory string) (string, error) {
	program := filepath.Join(directory, "reachpulley")
	build := exec.Command("go", "build", "-o", program, "reachpulley/cmd/reachpulley")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the gateway: %w: %s", err, output)
	}
	return program, nil
}

// gatewayConfig returns the platform's configuration of a gateway: that of the examples with other addresses and
// limits.
func gatewayConfig(listen, discovery string, limits Limits) ([]byte, error) {
	var config map[string]any
	if err := json.Unmarshal(examples.Config(), &config); err != nil {
		return nil, err
	}
	config["listen"] = listen
	config["discovery"] = discovery
	config["limits"] = limits
	addOnceClass(config["settings"].(map[string]any))
	return json.Marshal(config)
}

// addOnceClass adds to the settings a class of writes that must not run twice.
func addOnceClass(settings map[string]any) {
	settings["classes"] = append(settings["classes"].([]any), map[string]any{
		"name":        onceClass,
		"aimMs":       400,
		"deadlineMs":  writeTimeout.Milliseconds(),
		"idempotency": "at_most_once",
		"points":      2,
	})
	family := settings["familyInfo"].(map[string]any)
	family["changesData"] = append(family["changesData"].([]any), true)
}

// launch says how a gateway process is started.
type launch struct {
	program   string
	directory string // of its files
	listen    string
	discovery string
	options   Options
}

// command returns the command of the process. If system calls are to fail in it, strace runs it.
func (l launch) command() *exec.Cmd {
	if l.options.Inject == "" {
		return exec.Command(l.program)
	}
	call, _, _ := strings.Cut(l.options.Inject, ":")
	return exec.Command("strace", "--follow-forks", "--seccomp-bpf", "--quiet=all", "--output="+l.tracePath(), "--trace="+call,
		"--inject="+l.options.Inject, l.program)
}

// tracePath returns the path of the file to which strace writes the calls.
func (l launch) tracePath() string { return filepath.Join(l.directory, "calls") }

// gatewayProcess returns the process of the gateway: the one that was started or, if that is strace, its child.
func (l launch) gatewayProcess(started *os.Process) (*os.Process, error) {
	if l.options.Inject == "" {
		return started, nil
	}
	path := fmt.Sprintf("/proc/%d/task/%d/children", started.Pid, started.Pid)
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(sampleInterval) {
		children, _ := os.ReadFile(path)
		for child := range strings.FieldsSeq(string(children)) { // strace has short-lived children of its own
			if running, _ := os.Readlink("/proc/" + child + "/exe"); running != l.program {
				continue
			}
			pid, err := strconv.Atoi(child)
			if err != nil {
				return nil, err
			}
			return os.FindProcess(pid)
		}
	}
	return nil, errors.New("strace has started no process")
}

// startGateway starts a gateway and waits until it is ready.
func startGateway(l launch) (*Gateway, error) {
	config, err := gatewayConfig(l.listen, l.discovery, l.options.Limits)
	if err != nil {
		return nil, err
	}
	limits := l.options.Limits
	g := &Gateway{Address: l.listen, limits: limits, ended: make(chan struct{})}
	name := strconv.FormatInt(time.Now().UnixNano(), 36)
	configPath := filepath.Join(l.directory, name+".json")
	operatorPath := filepath.Join(l.directory, name+".toml")
	g.logPath = filepath.Join(l.directory, name+".log")
	err = errors.Join(os.WriteFile(configPath, config, 0o600),
		os.WriteFile(operatorPath, []byte(l.options.Operator), 0o600))
	if err != nil {
		return nil, err
	}
	log, err := os.Create(g.logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	g.cmd = l.command()
	g.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+configPath, "BALANCER_OPERATOR="+operatorPath,
		"TMPDIR="+l.directory)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		g.cmd.Wait()
		close(g.ended)
	}()
	if g.process, err = l.gatewayProcess(g.cmd.Process); err != nil {
		g.cmd.Process.Kill()
		return nil, err
	}
	g.samples.Go(g.sample)
	if limits.Cores < 1 {
		g.samples.Go(func() { g.shareCore(limits.Cores) })
	}
	if err := g.awaitReady(); err != nil {
		g.Kill()
		return nil, err
	}
	return g, nil
}

// awaitReady waits until the gateway answers readiness checks.
func (g *Gateway) awaitReady() error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(sampleInterval) {
		if g.Ended() {
			return fmt.Errorf("the gateway ended: %s", g.Log())
		}
		response, err := client.Get("http://" + g.Address + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the gateway was not ready within %v: %s", readyTimeout, g.Log())
}

// Ended reports whether the process has ended.
func (g *Gateway) Ended() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// Crashed reports whether the process has ended without being told to.
func (g *Gateway) Crashed() bool { return g.Ended() && !g.stopping.Load() }

// Terminate asks the process to end.
func (g *Gateway) Terminate() {
	g.stopping.Store(true)
	g.process.Signal(syscall.SIGTERM)
}

// Reload asks the process to read its configuration again.
func (g *Gateway) Reload() { g.process.Signal(syscall.SIGHUP) }

// HoldUp keeps the process from running for some time.
func (g *Gateway) HoldUp(d time.Duration) {
	g.process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	g.process.Signal(syscall.SIGCONT)
}

// Kill ends the process at once, and waits for that.
func (g *Gateway) Kill() {
	g.stopping.Store(true)
	g.process.Kill()
	<-g.ended
	g.samples.Wait()
}

// shareCore lets the process run for a part of the time only until it ends, as a scheduler does that divides a core.
func (g *Gateway) shareCore(share float64) {
	running := time.Duration(share * float64(sharePeriod))
	for !g.Ended() {
		time.Sleep(running)
		g.process.Signal(syscall.SIGSTOP)
		time.Sleep(sharePeriod - running)
		g.process.Signal(syscall.SIGCONT)
	}
}

// Log returns what the process has logged.
func (g *Gateway) Log() string {
	text, _ := os.ReadFile(g.logPath)
	return string(text)
}

// logTail returns the end of what the process has logged.
func (g *Gateway) logTail() string {
	const most = 4 << 10 // bytes
	text := g.Log()
	return text[max(0, len(text)-most):]
}

// Usage returns the most that the process has used so far.
func (g *Gateway) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usage
}

// sample reads what the process uses until it ends.
func (g *Gateway) sample() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	directory := fmt.Sprintf("/proc/%d/", g.process.Pid)
	for !g.Ended() {
		<-ticker.C
		memory := anonymousMemory(directory + "status")
		descriptors, _ := os.ReadDir(directory + "fd")
		g.mu.Lock()
		g.usage.MemoryBytes = max(g.usage.MemoryBytes, memory)
		g.usage.Descriptors = max(g.usage.Descriptors, len(descriptors))
		g.mu.Unlock()
	}
}

// anonymousMemory returns the anonymous memory that a process uses now, in bytes.
func anonymousMemory(statusPath string) int64 {
	status, err := os.ReadFile(statusPath)
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		rest, found := strings.CutPrefix(string(line), "RssAnon:")
		if !found {
			continue
		}
		size, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
		if err != nil {
			return 0
		}
		return size * kilobyte
	}
	return 0
}
