// Package rig holds what the cases 6 to 10 of the review share: the record, gateway processes, and stand-ins for
// discovery and for storage nodes. All of them use free ports on 127.0.0.1.
package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Rig is one run of a case. Its methods may be called from any goroutine.
type Rig struct {
	Dir     string // temporary folder of the run
	Trouble bool   // false: the disruption is left out
	began   time.Time

	mu       sync.Mutex
	record   *os.File
	gateways []*Gateway
}

// New starts a run. The first argument of the program is the folder of the case, in which it writes record.txt.
func New() *Rig {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		os.Exit(NotRun)
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	r := &Rig{Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", record: record, began: time.Now()}
	r.Logf("run begins, disruption: %v", r.Trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() { r.Cannot("stopped by %v", <-stop) }()
	time.AfterFunc(110*time.Second, func() { r.Cannot("the run took too long") })
	return r
}

// Now returns the time since the start of the run.
func (r *Rig) Now() time.Duration { return time.Since(r.began) }

// Logf adds a line to the record.
func (r *Rig) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f ", r.Now().Seconds())
	fmt.Fprintf(r.record, format+"\n", args...)
}

// Finish ends the run with a verdict: it ends all gateways and removes the temporary folder.
func (r *Rig) Finish(code int, format string, args ...any) {
	verdict := [...]string{"HELD", "BROKEN", "NOT RUN"}[code]
	text := fmt.Sprintf(format, args...)
	r.Logf("%s: %s", verdict, text)
	fmt.Printf("%s: %s\n", verdict, text)
	r.mu.Lock()
	for _, g := range r.gateways {
		g.Kill()
	}
	os.RemoveAll(r.Dir)
	os.Exit(code)
}

// Cannot ends a run that could not show anything.
func (r *Rig) Cannot(format string, args ...any) { r.Finish(NotRun, format, args...) }

// Must ends the run if there is an error.
func (r *Rig) Must(err error) {
	if err != nil {
		r.Cannot("%v", err)
	}
}

// Listen listens on a free port.
func (r *Rig) Listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	return l
}

// FreeAddress returns an address on which nobody listens.
func (r *Rig) FreeAddress() string {
	l := r.Listen()
	defer l.Close()
	return l.Addr().String()
}

// Config is the platform's configuration of a gateway.
type Config map[string]any

// Config returns a configuration with settings like those of a small deployment. Callers change what they need.
func (r *Rig) Config(listen string, discovery *Discovery) Config {
	return Config{
		"name": "n1", "listen": listen, "discovery": discovery.Address,
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    discovery.List(),
		"settings": Settings(),
	}
}

// Settings returns the settings of the brief for one gateway and one zone.
func Settings() map[string]any {
	var settings map[string]any
	if err := json.Unmarshal([]byte(settingsText), &settings); err != nil {
		panic(err)
	}
	return settings
}

const settingsText = `{"siblings": 1, "membershipMode": "ask", "dcs": ["room-a"], "zone": 0, "me": 0,
"ceilings": {"cancel": true, "connIdleMs": 15000, "dialTimeoutMs": 250, "maxAttempts": 4, "maxRetryAfterMs": 500,
  "probes": true, "retryAfter": true, "secondCopies": true},
"classes": [
  {"name": "sheet-read", "aimMs": 300, "deadlineMs": 1500, "idempotency": "idempotent", "points": 3, "lateShare": 0.15},
  {"name": "entry-write", "aimMs": 400, "deadlineMs": 2500, "idempotency": "deduplicated", "keyScope": "cell",
   "windowMs": 4000, "points": 2, "lateShare": 0.15}],
"contract": {"coldFrom": 0.18, "drainGraceMs": 250, "fallMultiple": 4, "overloadForMs": 3000, "warmWithinMs": 17000,
  "answerSlackMs": 8, "mustAskInMs": 10000},
"familyInfo": {"changesData": [false, true], "idleWorth": 0.1, "meanUnits": 2, "mostUnits": 8, "shareWorth": 0.4,
  "youngLimit": 76},
"policies": [{"name": "standard", "baseRate": 50, "guaranteed": 60, "price": 1.2, "proportion": 1}],
"report": {"fields": ["rif", "q"], "via": "on_probe"}}`

// Gateway is a process of the gateway.
type Gateway struct {
	Name   string
	Listen string
	rig    *Rig
	cmd    *exec.Cmd
	ended  chan struct{}
}

// Start writes the configuration and starts a gateway with the command of the deploy file.
func (r *Rig) Start(name string, config Config, operator string, env ...string) *Gateway {
	text, err := json.MarshalIndent(config, "", " ")
	r.Must(err)
	path := filepath.Join(r.Dir, name+".json")
	r.Must(os.WriteFile(path, text, 0o600))
	operatorPath := filepath.Join(r.Dir, name+".toml")
	r.Must(os.WriteFile(operatorPath, []byte(operator), 0o600))
	log, err := os.Create(filepath.Join(r.Dir, name+".log"))
	r.Must(err)
	g := &Gateway{Name: name, Listen: config["listen"].(string), rig: r, ended: make(chan struct{})}
	g.cmd = exec.Command("/bin/sh", "-c", r.runCommand())
	g.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_OPERATOR="+operatorPath, "TMPDIR="+r.Dir)
	g.cmd.Env = append(g.cmd.Env, env...)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	r.Must(g.cmd.Start())
	go func() {
		g.cmd.Wait()
		close(g.ended)
	}()
	r.mu.Lock()
	r.gateways = append(r.gateways, g)
	r.mu.Unlock()
	r.Logf("gateway process %s started, pid %d", name, g.cmd.Process.Pid)
	return g
}

// runCommand returns the value of run in the deploy file. The working directory is the root of the repository.
func (r *Rig) runCommand() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	r.Must(err)
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			command, err := strconv.QuotedPrefix(rest)
			r.Must(err)
			command, err = strconv.Unquote(command)
			r.Must(err)
			return command
		}
	}
	r.Cannot("the deploy file has no run")
	return ""
}

// Pid returns the id of the process.
func (g *Gateway) Pid() int { return g.cmd.Process.Pid }

// Ended reports whether the process has ended.
func (g *Gateway) Ended() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.rig.Logf("%v to gateway process %s", s, g.Name)
	g.cmd.Process.Signal(s)
}

// Kill ends the process at once, if it still runs.
func (g *Gateway) Kill() {
	if !g.Ended() {
		g.cmd.Process.Kill()
		<-g.ended
	}
}

// Log returns what the process has logged.
func (g *Gateway) Log() string {
	text, _ := os.ReadFile(filepath.Join(g.rig.Dir, g.Name+".log"))
	return string(text)
}

// WaitReady waits until GET of a URL answers 200.
func (r *Rig) WaitReady(g *Gateway, url string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if g.Ended() {
			r.Cannot("gateway process %s ended: %s", g.Name, g.Log())
		}
		response, err := client.Get(url)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			r.Logf("gateway process %s is ready", g.Name)
			return
		}
	}
	r.Cannot("gateway process %s was not ready within 15 s: %s", g.Name, g.Log())
}
