// Package stage holds what the cases share: a record of events, the gateway as a process of its own, and a stand-in for
// discovery that follows PROTOCOL-reachpulley.md.
package stage

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

// The exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Record is the file that holds what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf writes a line with the time since the start of the case.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// Verdict writes a line to the record and to standard output.
func (r *Record) Verdict(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Main runs a case and exits. The arguments of the program are the repository's root and the path of the record. The
// environment variable TROUBLE=0 turns the disruption off.
func Main(run func(root string, record *Record, trouble bool) (int, error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE ROOT RECORD")
		os.Exit(NotRun)
	}
	record, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	signal.Ignore(syscall.SIGPIPE) // nobody has to read standard output
	go endOnSignalOrTimeout(record)
	code, err := run(os.Args[1], record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Verdict("the case could not run: %v", err)
		code = NotRun
	}
	record.Verdict("exit %d", code)
	os.Exit(code)
}

// longest is the longest time that a case may take.
const longest = 115 * time.Second

// started holds the gateways that run.
var started struct {
	mu       sync.Mutex
	gateways map[*Gateway]bool
}

// endOnSignalOrTimeout ends the case and its gateways when a signal comes or the time is up.
func endOnSignalOrTimeout(record *Record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		record.Verdict("ended by %v", s)
	case <-time.After(longest):
		record.Verdict("not done after %v", longest)
	}
	started.mu.Lock()
	for g := range started.gateways {
		g.process.Process.Kill()
	}
	os.Exit(NotRun)
}

// FreeAddress returns a loopback address with a port that is free now.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Gateway is a gateway in a process of its own, started with the command "run" of the deploy file.
type Gateway struct {
	Name     string
	Address  string
	Operator string // text of the operator's file; empty: the file of the repository, where all is off

	record  *Record
	command string
	root    string
	dir     string
	process *exec.Cmd
	ended   chan struct{}
}

// NewGateway writes the configuration of a gateway into a temporary folder and does not start the gateway.
func NewGateway(root, name string, config map[string]any, record *Record) (*Gateway, error) {
	command, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	config["name"] = name
	config["listen"] = address
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, "config.json"), text, 0o644); err != nil {
		return nil, err
	}
	return &Gateway{Name: name, Address: address, record: record, command: command, root: root, dir: dir}, nil
}

// runCommand returns the value of the key "run" in the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command, nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no line for run")
}

// Start starts the gateway and waits until it answers GET /ready with 200.
func (g *Gateway) Start() error {
	if err := g.launch(); err != nil {
		return err
	}
	return g.awaitReady()
}

// launch starts the process.
func (g *Gateway) launch() error {
	temporary, err := os.MkdirTemp(g.dir, "tmp-")
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command("/bin/sh", "-c", g.command)
	process.Dir = g.root
	process.Env = append(os.Environ(), "BALANCER_CONFIG="+filepath.Join(g.dir, "config.json"), "TMPDIR="+temporary)
	if g.Operator != "" {
		path := filepath.Join(g.dir, "operator.toml")
		if err := os.WriteFile(path, []byte(g.Operator), 0o644); err != nil {
			return err
		}
		process.Env = append(process.Env, "BALANCER_OPERATOR="+path)
	}
	process.Stdout = log
	process.Stderr = log
	process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	started.mu.Lock()
	defer started.mu.Unlock()
	if err := process.Start(); err != nil {
		return err
	}
	if started.gateways == nil {
		started.gateways = map[*Gateway]bool{}
	}
	started.gateways[g] = true
	g.process = process
	g.ended = make(chan struct{})
	go func(ended chan struct{}) {
		process.Wait()
		close(ended)
	}(g.ended)
	g.record.Printf("gateway %s started, pid %d, at %s", g.Name, process.Process.Pid, g.Address)
	return nil
}

// awaitReady waits until the gateway answers GET /ready with 200.
func (g *Gateway) awaitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		response, err := client.Get("http://" + g.Address + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			g.record.Printf("gateway %s is ready", g.Name)
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready after 20 s; its log:\n%s", g.Name, g.Log())
}

// Log returns what the gateway has written to its standard streams.
func (g *Gateway) Log() string {
	text, _ := os.ReadFile(filepath.Join(g.dir, "log"))
	return string(text)
}

// Signal sends a signal to the gateway.
func (g *Gateway) Signal(signal syscall.Signal) {
	g.record.Printf("%v sent to gateway %s", signal, g.Name)
	g.process.Process.Signal(signal)
}

// Kill ends the gateway with SIGKILL and waits for its end.
func (g *Gateway) Kill() {
	if g.process == nil {
		return
	}
	g.Signal(syscall.SIGKILL)
	<-g.ended
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

// Memory returns the resident memory of the process, now and at its peak, in bytes.
func (g *Gateway) Memory() (now, peak int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.process.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
		switch fields[0] {
		case "VmRSS:":
			now = kilobytes << 10
		case "VmHWM:":
			peak = kilobytes << 10
		}
	}
	return now, peak
}

// Remove ends the gateway if it still runs, copies its log into the record and removes its temporary folder.
func (g *Gateway) Remove() {
	if g.process != nil && !g.Ended() {
		g.Kill()
	}
	for line := range strings.Lines(g.Log()) {
		g.record.Printf("log of gateway %s: %s", g.Name, strings.TrimSpace(line))
	}
	os.RemoveAll(g.dir)
}

// Node is an entry of the list of storage nodes.
type Node struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// list is a message of discovery.
type list struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Node `json:"hosts"`
}

// Discovery is a stand-in for discovery.
type Discovery struct {
	Address string

	record *Record
	server *http.Server

	mu      sync.Mutex
	seq     int
	nodes   []Node
	changes []list        // the change of each version from 2 on
	changed chan struct{} // closed at the next change
}

// NewDiscovery starts a discovery whose list has version 1.
func NewDiscovery(nodes []Node, record *Record) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		Address: l.Addr().String(),
		record:  record,
		seq:     1,
		nodes:   append([]Node(nil), nodes...),
		changed: make(chan struct{}),
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(l)
	return d, nil
}

// Close ends discovery.
func (d *Discovery) Close() { d.server.Close() }

// Known returns the list as a gateway's configuration holds it.
func (d *Discovery) Known() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{Seq: d.seq, Whole: true, Hosts: append([]Node(nil), d.nodes...)}
}

// Change changes or adds a node and tells all watches.
func (d *Discovery) Change(node Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	found := false
	for i := range d.nodes {
		if d.nodes[i].Host == node.Host {
			d.nodes[i] = node
			found = true
		}
	}
	if !found {
		d.nodes = append(d.nodes, node)
	}
	d.changes = append(d.changes, list{Seq: d.seq, Hosts: []Node{node}})
	close(d.changed)
	d.changed = make(chan struct{})
	d.record.Printf("discovery: version %d: %s is %s, born_ms %d", d.seq, node.Host, node.Health, node.BornMs)
}

// serve answers a call for the whole list or a watch.
func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	encoder := json.NewEncoder(w) // one object and a line feed
	if r.FormValue("stream") == "" {
		encoder.Encode(d.Known())
		return
	}
	index, _ := strconv.Atoi(r.FormValue("index"))
	d.record.Printf("discovery: watch from version %d", index)
	first := true
	for {
		d.mu.Lock()
		next, changed := d.sinceLocked(index, first)
		index = d.seq
		d.mu.Unlock()
		first = false
		for _, change := range next {
			encoder.Encode(change)
		}
		w.(http.Flusher).Flush()
	wait:
		for {
			select {
			case <-r.Context().Done():
				return
			case <-changed:
				break wait
			case <-time.After(2 * time.Second):
				io.WriteString(w, "\n")
				w.(http.Flusher).Flush()
			}
		}
	}
}

// sinceLocked returns what a watch gets that has the given version: the whole list at its start, and changes from then
// on.
func (d *Discovery) sinceLocked(index int, first bool) ([]list, <-chan struct{}) {
	if first && (index == 0 || index > d.seq) {
		return []list{{Seq: d.seq, Whole: true, Hosts: append([]Node(nil), d.nodes...)}}, d.changed
	}
	var next []list
	for _, change := range d.changes {
		if change.Seq > index {
			next = append(next, change)
		}
	}
	return next, d.changed
}
