package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"reachpulley/internal/apitest"
	"reachpulley/internal/capture/replaytest"
	"reachpulley/internal/config"
	"reachpulley/internal/frontend/iscsitarget"
	"reachpulley/internal/scenariotest"
)

const settings = `{"siblings":1,"membershipMode":"ask","ceilings":{"cancel":true,"maxAttempts":4,"retryAfter":true,` +
	`"maxRetryAfterMs":500,"dialTimeoutMs":250,"connIdleMs":15000},"classes":[` +
	`{"aimMs":300,"deadlineMs":1500,"idempotency":"idempotent","name":"read","points":3},` +
	`{"aimMs":400,"deadlineMs":2500,"idempotency":"deduplicated","keyScope":"cell","windowMs":4000,"name":"write","points":2},` +
	`{"aimMs":400,"deadlineMs":2500,"idempotency":"at_most_once","name":"once","points":2}],` +
	`"contract":{"drainGraceMs":250},"dcs":["a"],"familyInfo":{"meanUnits":2,"mostUnits":8,"changesData":[false,true,true]},` +
	`"policies":[{"baseRate":99,"guaranteed":99,"name":"gold","price":1,"proportion":1}],"report":{"via":"off"}}`

// hosts words discovery's list: "name state" for each node.
func hosts(seq int, whole bool, nodes ...string) string {
	var list []string
	for i, n := range nodes {
		name, state, _ := strings.Cut(n, " ")
		list = append(list, fmt.Sprintf(`{"host":"%s","dial":"%s:1","site":"a","block":%d,"health":"%s","born_ms":0}`, name, name, i, state))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(list, ","))
}

const path = "/api/00000003b4d60021/7f3a9c21e0b4d655"

// get and put are what a client sends, up to its own part.
const (
	facts = path + " X-Qos-Policy=gold X-Deadline=480m X-Placement=units=2,shard=0,hosts=1"
	get   = "GET " + facts + " X-Class=read X-Request-Id="
	put   = "PUT " + facts + " X-Class=write Idempotency-Key=k X-Request-Id="
	once  = "PUT " + facts + " X-Class=once X-Request-Id="

	watch  = "discovery expect GET /v1/endpoints?stream=1&index=1\n"
	drains = "discovery send raw HTTP/1.1 200 OK\\nConnection: close\\n\\n"
)

// play runs a script before a gateway with one node, n, and the given second front, and gives the gateway's log.
func play(t *testing.T, script string, second *config.ISCSI, node scenariotest.Speech, prepare ...func(*scenariotest.Stage)) string {
	t.Helper()
	var log bytes.Buffer
	directory := t.TempDir()
	scenariotest.Run(t, script, func(s *scenariotest.Stage) func() {
		c, err := config.Parse([]byte(`{"listen":"gate:1","discovery":"disc:1","seed":"1","known":`+
			hosts(1, true, "n up")+`,"settings":`+settings+`}`), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		shows := scenariotest.HTTP{Shows: []string{"X-Request-Id", "Idempotency-Key", "Retry-After", "Connection"}}
		s.Client("client", "gate:1", shows)
		s.Client("other", "gate:1", shows)
		s.Client("initiator", "iscsi:1", scenariotest.ISCSI{})
		s.Client("second", "iscsi:1", scenariotest.ISCSI{})
		s.Client("other-initiator", "iscsi:1", scenariotest.ISCSI{})
		s.Client("third", "iscsi:1", scenariotest.ISCSI{})
		s.Client("fourth", "iscsi:1", scenariotest.ISCSI{})
		s.Server("discovery", "disc:1", scenariotest.HTTP{})
		s.Server("moved", "disc:2", scenariotest.HTTP{})
		s.Server("node", "n:1", node)
		for _, p := range prepare {
			p(s)
		}
		operator := config.DefaultOperator()
		operator.ISCSI = second
		operator.H2C.Enabled = true
		operator.Capture = config.Capture{Memory: 1 << 10, Directory: directory, Disk: 8, Segment: 4, SegmentAge: time.Hour, MaxTriggered: 1}
		g := Options{Config: c, Operator: operator, Listener: s.Network.Listen("gate:1"), H2CListener: s.Network.Listen("h2:1"), Dial: s.Network.Dial,
			Log: slog.New(slog.NewJSONHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))}
		if second != nil {
			g.ISCSIListener = s.Network.Listen("iscsi:1")
		}
		// A reload finds what the script has put into the file.
		reloads, next, reloaded := make(chan os.Signal, 1), *c, *operator
		var fault error
		g.Reloads, g.Reload = reloads, func() (*config.Config, *config.Operator, error) { return &next, &reloaded, fault }
		s.Control("file", "moved", func() { next.Discovery, fault = "disc:2", nil })
		if strings.HasPrefix(t.Name(), "TestContracts") {
			operator.Contracts = describe(t, sheets, c.Settings, nil)
			s.Control("file", "strict contracts", func() {
				reloaded.Contracts = describe(t, sheets, c.Settings, func(c *config.Contracts) { c.Undescribed = config.RejectUndescribed })
			})
			s.Control("file", "other contracts", func() {
				reloaded.Contracts = describe(t, strings.Replace(sheets, "repeats: safe}", "repeats: safe, aim: 1s, deadline: 2s}", 1), c.Settings, nil)
			})
			s.Control("file", "no contracts", func() { reloaded.Contracts.Catalog = nil })
			reloaded = *operator
		}
		for name, text := range ruleFiles {
			if name == "old" { // in force from the start, where a test is about rules
				if strings.HasPrefix(t.Name(), "TestRules") {
					operator.Rules.Set = ruleSet(t, text, c.Settings)
				}
				continue
			}
			s.Control("file", name+" rules", func() { reloaded.Rules.Set = ruleSet(t, text, c.Settings) })
		}
		s.Control("file", "other classes", func() {
			next.Settings.Classes = slices.Clone(next.Settings.Classes)
			slices.Reverse(next.Settings.Classes)
		})
		s.Control("file", "nonsense", func() { next.Discovery, fault = "", errors.New("discovery: is missing") })
		s.Control("gateway", "reload", func() {
			select { // as os/signal does
			case reloads <- syscall.SIGHUP:
			default:
			}
		})
		stop, cancel := context.WithCancel(context.Background())
		s.Control("gateway", "stop", cancel)
		ended := make(chan error)
		go func() { ended <- Serve(stop, g) }()
		return func() {
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	})
	recorded(t, directory)
	return log.String()
}

func init() { replaytest.WarmUp() }

// recorded replays what a gateway recorded while a script was played: whatever went wrong in it, the decisions can be played again and kept the rules.
func recorded(t *testing.T, directory string) {
	t.Helper()
	segments, err := filepath.Glob(filepath.Join(directory, "*.segment"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range segments {
		file, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		replaytest.ReplayTwice(t, file)
	}
	if len(segments) == 0 {
		t.Error("nothing was recorded")
	}
}

var nodeHTTP = scenariotest.HTTP{Shows: []string{"X-Request-Id", "Idempotency-Key"}}

func TestHTTPFront(t *testing.T) {
	for name, script := range map[string]string{
		"a request is passed on and its answer comes back": `
			client send ` + put + `r1 hello
			node expect PUT ` + path + ` X-Request-Id=r1 Idempotency-Key=k hello
			node send 200 stored
			client expect 200 stored`,
		"a request turned away unrun goes again": `
			client send ` + put + `r1 hello
			node expect PUT ` + path + ` X-Request-Id=r1 Idempotency-Key=k hello
			node send 503 X-Not-Run=1
			wait 100ms
			node expect PUT ` + path + ` X-Request-Id=r1 Idempotency-Key=k hello
			node send 200 stored
			client expect 200 stored`,
		// The connection ends after the last byte: the write may have run, and its class allows no second time.
		"a lost answer is not asked for again beyond its class": `
			client send ` + once + `r1 hello
			node expect PUT ` + path + ` X-Request-Id=r1 hello
			node close
			client expect 502
			node expect nothing`,
		// 503 without the node's word that nothing ran: the work may have begun.
		"503 alone does not prove that nothing ran": `
			client send ` + once + `r1 hello
			node expect PUT ` + path + ` X-Request-Id=r1 hello
			node send 503
			client expect 502
			node expect nothing`,
		// http.Transport would send a GET again by itself when a kept connection breaks: a hidden attempt that no one counted.
		"a GET on a kept connection that breaks is not sent again behind the core's back": `
			client send ` + get + `r1
			node expect GET ` + path + ` X-Request-Id=r1
			node send 200 one
			client expect 200 one
			client send ` + strings.Replace(once, "PUT", "GET", 1) + `r2
			node expect GET ` + path + ` X-Request-Id=r2
			node close
			client expect 502
			wait 1s
			node expect nothing`,
		"nor is a request with an idempotency key whose class allows no second time": `
			client send ` + get + `r1
			node expect GET ` + path + ` X-Request-Id=r1
			node send 200 one
			client expect 200 one
			client send ` + once + `r2 Idempotency-Key=k hello
			node expect PUT ` + path + ` X-Request-Id=r2 Idempotency-Key=k hello
			node close
			client expect 502
			wait 1s
			node expect nothing`,
		"a request with an idempotency key on a broken kept connection comes once more, within its class": `
			client send ` + get + `r1
			node expect GET ` + path + ` X-Request-Id=r1
			node send 200 one
			client expect 200 one
			client send ` + put + `r2 hello
			node expect PUT ` + path + ` X-Request-Id=r2 Idempotency-Key=k hello
			node close
			node expect PUT ` + path + ` X-Request-Id=r2 Idempotency-Key=k hello
			node send 200 stored
			client expect 200 stored
			node expect nothing`,
		// Nothing of a node's answer may reach the client before it is whole: it could still be another node's.
		"an answer that breaks off is not passed on": `
			client send ` + once + `r1 hello
			node expect PUT ` + path + ` X-Request-Id=r1 hello
			node send raw HTTP/1.1 200 OK\nContent-Length: 10\n\nhalf
			client expect nothing
			node close
			client expect 502`,
		"a silent node costs the request, in time": `
			client send ` + once + `r1 hello
			node expect PUT ` + path + ` X-Request-Id=r1 hello
			wait 476ms
			client expect nothing
			wait 2ms
			client expect 502
			node expect end`,
		"a client that leaves takes its attempt along": `
			client send ` + get + `r1
			node expect GET ` + path + ` X-Request-Id=r1
			client close
			node expect end`,
		"a draining node gets nothing new and still answers": `
			` + watch + `
			client send ` + get + `r1
			node expect GET ` + path + ` X-Request-Id=r1
			` + drains + hosts(2, false, "n draining") + `\n
			other send ` + get + `r2
			wait 250ms
			node expect nothing
			node send 200 one
			client expect 200 one
			wait 500ms
			node expect nothing`,
		"a connection is dropped well before the node would close it": `
			client send ` + get + `r1
			node expect GET ` + path + ` X-Request-Id=r1
			node send 200 one
			client expect 200 one
			wait 7s
			node expect nothing
			wait 2s
			node expect end`,
	} {
		t.Run(name, func(t *testing.T) { play(t, script, nil, nodeHTTP) })
	}
}

const login = `
	initiator send login imm tag=0 sn=1 text=InitiatorName=iqn.a;TargetName=iqn.gate
	initiator expect login-response status=0000
`

// nodeLogin lets the gateway in at an iSCSI node, whose window then holds max commands.
const nodeLogin = `
	node expect login
	node send login-response exp=1 max=64
`

// secondFront has one unit of 1,000 blocks whose writes may run once, and another whose writes carry a key.
func secondFront(nodes string) *config.ISCSI {
	unit := iscsitarget.Unit{Volume: "00000003b4d60021", ReadClass: 0, WriteClass: 2, Hosts: 1, BlockSize: 512, Blocks: 1000, UnitBytes: 8192}
	keyed := unit
	keyed.LUN, keyed.WriteClass = 1, 1
	return &config.ISCSI{Target: "iqn.gate", Sessions: 2, Depth: 4, Nodes: nodes, Description: "../../api/openapi.yaml",
		NodeTarget: "iqn.node", Units: []iscsitarget.Unit{unit, keyed}}
}

func TestSecondFront(t *testing.T) {
	for name, script := range map[string]string{
		"a read comes back with its status": login + `
			initiator send command tag=1 sn=1 read=8+2
			` + nodeLogin + `
			node expect command tag=1 lun=0 read=8+2
			node send data-in tag=1 data=1024*r
			initiator expect data-in tag=1 offset=0 status=good data=1024*r`,
		"a write brings its data along": login + `
			initiator send command tag=1 sn=1 write=8+1 data=512*w
			` + nodeLogin + `
			node expect command tag=1 lun=0 write=8+1 data=512*w
			node send response tag=1
			initiator expect response tag=1 status=good`,
		"data that a write leaves out is asked for, on both sides": login + `
			initiator send command tag=1 sn=1 write=0+2 data=512*a
			initiator expect r2t tag=1 ttt=1 offset=512 length=512
			initiator send data-out tag=1 ttt=1 offset=512 data=512*a
			node expect login
			node send login-response exp=1 max=64 text=ImmediateData=No
			node expect command tag=1 lun=0 write=0+2
			node send r2t tag=1 ttt=9 length=1024
			node expect data-out tag=1 ttt=9 offset=0 data=1024*a
			node send response tag=1
			initiator expect response tag=1 status=good`,
		"a draining node gets nothing new and each command one answer": login + watch + `
			initiator send command tag=1 sn=1 read=1+1
			` + nodeLogin + `
			node expect command tag=1 lun=0 read=1+1
			initiator send command tag=2 sn=2 read=2+1
			node expect command tag=2 lun=0 read=2+1
			initiator send command tag=3 sn=3 write=3+1 data=512*w
			node expect command tag=3 lun=0 write=3+1 data=512*w
			` + drains + hosts(2, false, "n draining") + `\n
			initiator send command tag=4 sn=4 read=4+1
			wait 250ms
			node expect nothing
			initiator expect nothing
			node send data-in tag=2 data=512*b
			initiator expect data-in tag=2 offset=0 status=good data=512*b
			node send data-in tag=1 data=512*a
			initiator expect data-in tag=1 offset=0 status=good data=512*a
			node send response tag=3
			initiator expect response tag=3 status=good
			wait 1s
			initiator expect response tag=4 status=busy
			wait 5s
			initiator expect nothing
			node expect nothing`,
		// The write may have run, and its class allows no second time.
		"a write whose reply is lost is not run again": login + `
			initiator send command tag=1 sn=1 write=8+1 data=512*w
			` + nodeLogin + `
			node expect command tag=1 lun=0 write=8+1 data=512*w
			node close
			initiator expect response tag=1 status=check-condition sense=b/44/00
			wait 5s
			node expect nothing
			initiator expect nothing`,
		"a keyed write whose reply is lost runs again within its window, then fails": login + `
			initiator send command tag=1 sn=1 lun=1 write=8+1 data=512*w
			` + nodeLogin + `
			node expect command tag=1 lun=1 write=8+1 data=512*w
			node close
			` + nodeLogin + `
			node expect command tag=1 lun=1 write=8+1 data=512*w
			node send response tag=1
			initiator expect response tag=1 status=good
			node expect nothing`,
		"a deadline ends a command with a sense of its own": login + `
			initiator send command tag=1 sn=1 write=8+1 data=512*w
			` + nodeLogin + `
			node expect command tag=1 lun=0 write=8+1 data=512*w
			wait 2490ms
			initiator expect nothing
			wait 10ms
			initiator expect response tag=1 status=check-condition sense=b/2e/02`,
		"a node that is full refuses, and what is left goes to it again": login + `
			initiator send command tag=1 sn=1 write=8+1 data=512*w
			` + nodeLogin + `
			node expect command tag=1 lun=0 write=8+1 data=512*w
			node send response tag=1 status=0x28
			node expect command tag=2 lun=0 write=8+1 data=512*w
			node send response tag=2
			initiator expect response tag=1 status=good`,
		"an aborted command has no other answer, and the node hears of it": login + `
			initiator send command tag=1 sn=1 read=8+1
			` + nodeLogin + `
			node expect command tag=1 lun=0 read=8+1
			initiator send task-request imm tag=7 sn=2 flags=0x81 ref=1
			initiator expect task-response tag=7 result=0
			node expect task-request ref=1
			node send data-in tag=1 data=512*r
			wait 3s
			initiator expect nothing
			initiator send task-request imm tag=8 sn=2 flags=0x81 ref=1
			initiator expect task-response tag=8 result=1`,
		"a read in pieces, on both sides": login + `
			initiator send command tag=1 sn=1 read=0+20
			` + nodeLogin + `
			node expect command tag=1 lun=0 read=0+20
			node send data-in tag=1 flags=0x00 data=8192*r
			node send data-in tag=1 offset=8192 data=2048*r
			initiator expect data-in tag=1 offset=0 data=8192*r
			initiator expect data-in tag=1 offset=8192 status=good data=2048*r`,
		"a read that came short is not passed on": login + `
			initiator send command tag=1 sn=1 read=0+2
			` + nodeLogin + `
			node expect command tag=1 lun=0 read=0+2
			node send data-in tag=1 data=512*r
			node expect command tag=2 lun=0 read=0+2
			node send data-in tag=2 data=1024*r
			initiator expect data-in tag=1 offset=0 status=good data=1024*r`,
		"a node that asks for a logout finishes what it has; what is new gets a session of its own": login + `
			initiator send command tag=1 sn=1 read=1+1
			` + nodeLogin + `
			node expect command tag=1 lun=0 read=1+1
			node send async
			node send data-in tag=1 data=512*a
			initiator expect data-in tag=1 offset=0 status=good data=512*a
			node expect end
			initiator send command tag=2 sn=2 read=1+1
			` + nodeLogin + `
			node expect command tag=1 lun=0 read=1+1
			node send data-in tag=1 data=512*b
			initiator expect data-in tag=2 offset=0 status=good data=512*b`,
		"a node's window holds commands back": login + `
			initiator send command tag=1 sn=1 read=1+1
			node expect login
			node send login-response exp=1 max=1
			node expect command tag=1 lun=0 read=1+1
			initiator send command tag=2 sn=2 read=2+1
			wait 1ms
			node expect nothing
			node send data-in tag=1 max=2 data=512*a
			initiator expect data-in tag=1 offset=0 status=good data=512*a
			node expect command tag=2 lun=0 read=2+1
			node send data-in tag=2 max=3 data=512*b
			initiator expect data-in tag=2 offset=0 status=good data=512*b`,
		"a node's ping is answered, its nonsense ends the session": login + `
			initiator send command tag=1 sn=1 write=1+1 data=512*w
			` + nodeLogin + `
			node expect command tag=1 lun=0 write=1+1 data=512*w
			node send nop-in tag=4294967295 ttt=7
			node expect nop-out
			node send text tag=1
			initiator expect response tag=1 status=check-condition sense=b/44/00
			node expect end`,
		"a session with nothing out is dropped well before the node would": login + `
			initiator send command tag=1 sn=1 read=1+1
			` + nodeLogin + `
			node expect command tag=1 lun=0 read=1+1
			node send data-in tag=1 data=512*a
			initiator expect data-in tag=1 offset=0 status=good data=512*a
			wait 7s
			node expect nothing
			wait 2s
			node expect end`,
		"a node that is cut off without a word gets a new connection for the next command": login + `
			initiator send command tag=1 sn=1 write=1+1 data=512*w
			` + nodeLogin + `
			node expect command tag=1 lun=0 write=1+1 data=512*w
			wait 2500ms
			initiator expect response tag=1 status=check-condition sense=b/2e/02
			node expect end
			initiator send command tag=2 sn=2 read=1+1
			` + nodeLogin + `
			node expect command tag=1 lun=0 read=1+1`,
		"an initiator that goes takes its commands along": login + `
			initiator send command tag=1 sn=1 read=8+1
			` + nodeLogin + `
			node expect command tag=1 lun=0 read=8+1
			initiator close
			node expect task-request ref=1`,
	} {
		t.Run(name, func(t *testing.T) { play(t, script, secondFront(config.NodesISCSI), scenariotest.ISCSI{}) })
	}
}

func TestSecondFrontWithoutItsNode(t *testing.T) {
	play(t, login+`
		initiator send command tag=1 sn=1 write=8+1 data=512*w
		initiator send command tag=2 sn=2 read=8+1
		wait 2500ms
		initiator expect response tag=2 status=task-set-full
		initiator expect response tag=1 status=busy
		wait 5s
		initiator expect nothing`,
		secondFront(config.NodesISCSI), scenariotest.ISCSI{}, func(s *scenariotest.Stage) { s.Network.Listen("n:1").Close() })
}

func TestSecondFrontBeforeHTTPNodes(t *testing.T) {
	const object = "/api/00000003b4d60021/0000000000000008"
	speech := scenariotest.HTTP{Shows: []string{"X-Class", "X-Placement", "X-Qos-Policy"}}
	play(t, login+`
		initiator send command tag=1 sn=1 lun=1 write=8+1 data=512*w
		node expect PUT `+object+` X-Class=write X-Placement=units=1,shard=0,hosts=1 X-Qos-Policy=gold `+strings.Repeat("w", 512)+`
		node send 200
		initiator expect response tag=1 status=good
		initiator send command tag=2 sn=2 lun=1 read=8+1
		node expect GET `+object+` X-Class=read X-Placement=units=1,shard=0,hosts=1 X-Qos-Policy=gold
		node send 200 `+strings.Repeat("w", 512)+`
		initiator expect data-in tag=2 offset=0 status=good data=512*w
		initiator send command tag=3 sn=3 lun=1 read=8+1
		node expect GET `+object+` X-Class=read X-Placement=units=1,shard=0,hosts=1 X-Qos-Policy=gold
		node send 200 short
		initiator expect response tag=3 status=check-condition sense=b/44/00`,
		secondFront(config.NodesHTTP), speech)
}

func TestSecondFrontHoldsToTheRFC(t *testing.T) {
	for name, script := range map[string]string{
		"a login that does not come ends within 3 s": `
			initiator send login cut=1
			wait 2499ms
			initiator expect nothing
			wait 1ms
			initiator expect end`,
		// There is room for two sessions and two more to be told so.
		"connections that say nothing keep nobody out": `
			initiator send login cut=1
			second send login cut=1
			other-initiator send login cut=1
			third send login cut=1
			fourth send login imm tag=0 sn=1 text=InitiatorName=iqn.a;TargetName=iqn.gate
			initiator expect end
			fourth expect login-response status=0302`,
		"a login names a target that is there": `
			initiator send login imm tag=0 sn=1 text=InitiatorName=iqn.a;TargetName=iqn.other
			initiator expect login-response status=0203
			initiator expect end`,
		"a login names its initiator": `
			initiator send login imm tag=0 sn=1 text=TargetName=iqn.gate
			initiator expect login-response status=0207
			initiator expect end`,
		"a login asks for a version that is spoken": `
			initiator send login imm tag=0 sn=1 version=1 text=InitiatorName=iqn.a;TargetName=iqn.gate
			initiator expect login-response status=0205
			initiator expect end`,
		"no discovery sessions": `
			initiator send login imm tag=0 sn=1 text=InitiatorName=iqn.a;SessionType=Discovery
			initiator expect login-response status=0209
			initiator expect end`,
		"no login without its text in order": `
			initiator send login imm tag=0 sn=1 text=InitiatorName
			initiator expect login-response status=0200
			initiator expect end`,
		"a login in two stages": `
			initiator send login imm tag=0 sn=1 flags=0x81 text=InitiatorName=iqn.a;TargetName=iqn.gate;AuthMethod=None
			initiator expect login-response status=0000
			initiator send login imm tag=0 sn=1 flags=0x87 text=HeaderDigest=CRC32C,None
			initiator expect login-response status=0000
			initiator send nop-out imm tag=5 sn=1 data=hello
			initiator expect nop-in tag=5 ttt=4294967295 data=hello`,
		"a session that is half open before its login ends": `
			initiator send login imm tag=0 sn=1 flags=0x04 text=InitiatorName=iqn.a;TargetName=iqn.gate
			initiator expect login-response status=0000
			wait 10s
			initiator expect end`,
		"too many sessions": login + `
			other-initiator send login imm tag=0 sn=1 text=InitiatorName=iqn.c;TargetName=iqn.gate
			other-initiator expect login-response status=0000
			second send login imm tag=0 sn=1 text=InitiatorName=iqn.b;TargetName=iqn.gate
			second expect login-response status=0302
			second expect end`,
		"a client that comes again takes its old session's place": login + `
			second send login imm tag=0 sn=1 text=InitiatorName=iqn.a;TargetName=iqn.gate
			second expect login-response status=0000
			initiator expect end
			second send nop-out imm tag=5 sn=1
			second expect nop-in tag=5 ttt=4294967295`,
		"a silent session is pinged, then ended": login + `
			wait 21s
			initiator expect nop-in tag=4294967295 ttt=1
			wait 30s
			initiator expect nop-in tag=4294967295 ttt=2
			initiator expect end`,
		"a second login on the connection": login + `
			initiator send login imm tag=0 sn=1
			initiator expect reject reason=4
			initiator expect end`,
		"what is not in the subset": login + `
			initiator send text tag=1 sn=1
			initiator expect reject reason=5
			initiator send task-request imm tag=2 sn=1 flags=0x85
			initiator expect task-response tag=2 result=5
			initiator send command tag=3 sn=1 cdb=35
			initiator expect response tag=3 status=check-condition sense=5/20/00`,
		"a data segment that is too long": login + `
			initiator send command tag=1 sn=1 write=0+1 data=65537*w cut=48
			initiator expect reject reason=4
			initiator expect end`,
		"additional header segments": login + `
			initiator send nop-out imm tag=1 sn=1 ahs=1
			initiator expect reject reason=4
			initiator expect end`,
		"stale and far numbers are dropped in silence, a gap is not": login + `
			initiator send command tag=1 sn=1 cdb=00
			initiator expect response tag=1 status=good
			initiator send command tag=2 sn=1 cdb=00
			initiator expect nothing
			initiator send command tag=3 sn=99 cdb=00
			initiator expect nothing
			initiator send command tag=4 sn=4 cdb=00
			initiator expect reject reason=4
			initiator expect end`,
		"a flood: the window takes its depth, and of what is immediate no more": login + `
			initiator send command tag=1 sn=1 read=1+1
			initiator send command tag=2 sn=2 read=2+1
			initiator send command tag=3 sn=3 read=3+1
			initiator send command tag=4 sn=4 read=4+1
			initiator send command tag=5 sn=5 read=5+1
			initiator expect nothing
			initiator send command imm tag=6 sn=5 read=6+1
			initiator expect reject reason=6`,
		"a tag that is in use": login + `
			initiator send command tag=1 sn=1 read=1+1
			initiator send command tag=1 sn=2 read=2+1
			initiator expect reject reason=7`,
		"an address beyond the unit, a unit that is not there, a transfer that is too long": login + `
			initiator send command tag=1 sn=1 read=999+2
			initiator expect response tag=1 status=check-condition sense=5/21/00
			initiator send command tag=2 sn=2 lun=7 read=0+1
			initiator expect response tag=2 status=check-condition sense=5/25/00
			initiator send command tag=3 sn=3 read=0+129
			initiator expect response tag=3 status=check-condition sense=5/24/00`,
		"data that does not fit its command": login + `
			initiator send command tag=1 sn=1 read=0+1 data=512*x
			initiator expect reject reason=9
			initiator send command tag=2 sn=2 write=0+1 data=513*x
			initiator expect response tag=2 status=check-condition sense=5/24/00
			initiator send command tag=3 sn=3 write=0+2
			initiator expect r2t tag=3 ttt=1 offset=0 length=1024
			initiator send data-out tag=3 ttt=1 offset=512 data=512*x
			initiator expect reject reason=9
			initiator send data-out tag=3 ttt=1 data=512*x
			initiator expect response tag=3 status=check-condition sense=b/0c/0d`,
		"a write whose data never comes": login + `
			initiator send command tag=1 sn=1 write=0+1
			initiator expect r2t tag=1 ttt=1 offset=0 length=512
			wait 2500ms
			initiator expect response tag=1 status=check-condition sense=b/2e/02
			node expect nothing`,
		"what the target says of itself": login + `
			initiator send command tag=1 sn=1 expects=16 cdb=a0000000000000000010
			initiator expect data-in tag=1 offset=0 status=good data=` + "\x00\x00\x00\x10" + strings.Repeat("\x00", 12) + `
			initiator send command tag=2 sn=2 expects=8 cdb=25
			initiator expect data-in tag=2 offset=0 status=good data=` + "\x00\x00\x03\xe7\x00\x00\x02\x00" + `
			initiator send command tag=3 sn=3 expects=32 cdb=9e10000000000000000000000020
			initiator expect data-in tag=3 offset=0 status=good data=` + "\x00\x00\x00\x00\x00\x00\x03\xe7\x00\x00\x02\x00" + strings.Repeat("\x00", 20) + `
			initiator send command tag=4 sn=4 expects=8 cdb=120000000800
			initiator expect data-in tag=4 offset=0 status=good data=` + "\x00\x00\x05\x02\x1f\x00\x00\x02" + `
			initiator send command tag=5 sn=5 expects=6 cdb=120100000600
			initiator expect data-in tag=5 offset=0 status=good data=` + "\x00\x00\x00\x02\x00\xb0" + `
			initiator send command tag=6 sn=6 cdb=120177000600
			initiator expect response tag=6 status=check-condition sense=5/24/00`,
		"a logout": login + `
			initiator send logout tag=1 sn=1
			initiator expect logout-response tag=1
			initiator expect end`,
		"a planned stop asks for a logout and answers what is outstanding": login + `
			initiator send command tag=1 sn=1 read=1+1
			` + nodeLogin + `
			node expect command tag=1 lun=0 read=1+1
			gateway send stop
			wait 500ms
			initiator expect async event=1
			node send data-in tag=1 data=512*a
			initiator expect data-in tag=1 offset=0 status=good data=512*a
			wait 2s
			initiator expect end`,
	} {
		t.Run(name, func(t *testing.T) { play(t, script, secondFront(config.NodesISCSI), scenariotest.ISCSI{}) })
	}
}

func TestHTTPFrontTurnsFaultsAway(t *testing.T) {
	for name, script := range map[string]string{
		"no id":               `client send GET ` + facts + " X-Class=read",
		"an unknown class":    `client send GET ` + facts + " X-Class=none X-Request-Id=r1",
		"an unknown plan":     `client send ` + strings.Replace(get, "gold", "tin", 1) + "r1",
		"a path of one part":  `client send ` + strings.Replace(get, path, "/7f3a9c21e0b4d655", 1) + "r1",
		"a volume by name":    `client send ` + strings.Replace(get, "00000003b4d60021", "mine", 1) + "r1",
		"no deadline":         `client send ` + strings.Replace(get, "X-Deadline=480m", "", 1) + "r1",
		"a deadline in hours": `client send ` + strings.Replace(get, "480m", "4h", 1) + "r1",
		"a deadline of NaN":   `client send ` + strings.Replace(get, "480m", "NaNm", 1) + "r1",
		"no units":            `client send ` + strings.Replace(get, "units=2,", "", 1) + "r1",
		"a shard of a half":   `client send ` + strings.Replace(get, "shard=0", "shard=0.5", 1) + "r1",
	} {
		t.Run(name, func(t *testing.T) {
			play(t, script+"\nwait 1ms\nclient expect 400 "+faults[name]+"\nnode expect nothing", nil, nodeHTTP)
		})
	}
	play(t, `client send `+put+`r1 `+strings.Repeat("x", 64<<10+1)+`
		client expect 413 Connection=close the body is longer than 65536 bytes
		node expect nothing
		other send GET /ready
		other expect 200`, nil, nodeHTTP)
}

var faults = map[string]string{
	"no id":               "X-Request-Id is missing",
	"an unknown class":    `X-Class: unknown class "none"`,
	"an unknown plan":     `X-Qos-Policy: unknown plan "tin"`,
	"a path of one part":  "path: want a volume and a piece of data, 16 hex digits each",
	"a volume by name":    "path: want a volume and a piece of data, 16 hex digits each",
	"no deadline":         `X-Deadline: "" is not a time such as 480m or 480000u`,
	"a deadline in hours": `X-Deadline: "4h" is not a time such as 480m or 480000u`,
	"a deadline of NaN":   `X-Deadline: "NaNm" is not a time such as 480m or 480000u`,
	"no units":            "X-Placement: units is missing",
	"a shard of a half":   `X-Placement: "units=2,shard=0.5,hosts=1" makes no sense`,
}

func TestPlannedStop(t *testing.T) {
	play(t, `
		client send `+get+`r1
		node expect GET `+path+` X-Request-Id=r1
		gateway send stop
		wait 300ms
		node send 200 one
		client expect 200 Connection=close one
		client expect end
		# for a while clients do not know: what comes is served, over new connections too
		other send `+once+`r2 late
		node expect PUT `+path+` X-Request-Id=r2 late
		wait 400ms
		node send 200 two
		other expect 200 Connection=close two
		other expect end`, nil, nodeHTTP)
}

func TestReload(t *testing.T) {
	const moves = `
		file send moved
		gateway send reload
		gateway send reload
		discovery expect end
		moved expect GET /v1/endpoints?stream=1&index=0
	`
	moved := strings.ReplaceAll(drains, "discovery", "moved")
	for name, script := range map[string]string{
		// Unheard, SIGHUP would end the program. The new discovery counts anew, and the list stays meanwhile.
		"discovery moves and is heard at its new address": watch + moves + `
			client send ` + get + `r1
			node expect GET ` + path + ` X-Request-Id=r1
			node send 200 one
			client expect 200 one
			` + moved + hosts(1, false, "n draining") + `\n
			client send ` + get + `r2
			wait 250ms
			node expect nothing`,
		"a faulty file changes nothing": watch + `
			file send nonsense
			gateway send reload
			wait 1s
			discovery expect nothing
			` + drains + hosts(2, false, "n draining") + `\n
			client send ` + get + `r1
			wait 250ms
			node expect nothing`,
		"a stop goes on, and drains are still told": watch + `
			client send ` + get + `r1
			node expect GET ` + path + ` X-Request-Id=r1
			gateway send stop
			` + moves + moved + hosts(1, false, "n draining") + `\n
			other send ` + get + `r2
			wait 250ms
			node expect nothing
			node send 200 one
			client expect 200 Connection=close one`,
	} {
		t.Run(name, func(t *testing.T) {
			log := play(t, script, nil, nodeHTTP)
			if told := strings.Contains(log, "discovery: is missing"); told != (name == "a faulty file changes nothing") {
				t.Errorf("the fault of the file is told: %v", told)
			}
		})
	}
}

func TestCollectionsFollowTheMemory(t *testing.T) {
	for memory, want := range map[int]int{16: 100, 32: 160, 64: 320, 192: 400} {
		if got := gcPercent(memory); got != want {
			t.Errorf("%d MB: %d, want %d", memory, got, want)
		}
	}
}

func TestEventsAreAsDescribed(t *testing.T) {
	log := play(t, login+`
		initiator send command tag=1 sn=1 read=8+1
		`+nodeLogin+`
		node expect command tag=1 lun=0 read=8+1
		node send data-in tag=1 data=512*r
		initiator expect data-in tag=1 offset=0 status=good data=512*r
		initiator send command tag=2 sn=2 write=8+1 data=512*w
		node expect command tag=2 lun=0 write=8+1 data=512*w
		node close
		initiator expect response tag=2 status=check-condition sense=b/44/00
		initiator close`, secondFront(config.NodesISCSI), scenariotest.ISCSI{})
	schema := apitest.Schemas(t, "../../api/asyncapi.yaml")
	names := map[string]string{"session-opened": "SessionOpened", "session-closed": "SessionClosed", "command-ended": "CommandEnded"}
	var kinds []string
	for line := range strings.Lines(log) {
		var entry struct{ Event json.RawMessage }
		var event struct{ Kind string }
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Fatal(err)
		}
		if entry.Event == nil {
			continue
		}
		json.Unmarshal(entry.Event, &event)
		kinds = append(kinds, event.Kind)
		value, err := jsonschema.UnmarshalJSON(bytes.NewReader(entry.Event))
		if err == nil {
			err = schema(names[event.Kind]).Validate(value)
		}
		if err != nil {
			t.Errorf("%s: %v", entry.Event, err)
		}
	}
	if diff := cmp.Diff([]string{"session-opened", "command-ended", "command-ended", "session-closed"}, kinds); diff != "" {
		t.Error(diff)
	}
}

func TestHTTPFrontBeforeISCSINodes(t *testing.T) {
	play(t, `
		client send `+once+`r1 hello
		wait 479ms
		node expect nothing
		client expect 503 Retry-After=0.101`, secondFront(config.NodesISCSI), scenariotest.ISCSI{})
}
