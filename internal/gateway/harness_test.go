package gateway

import (
	"bytes"
	"cmp"
	"context"
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

	"reachpulley/internal/capture/replaytest"
	"reachpulley/internal/config"
	"reachpulley/internal/scenariotest"
)

func init() { replaytest.WarmUp() }

// testSettings are the platform's settings of the tests.
const testSettings = `{
	"siblings": 1, "membershipMode": "ask", "dcs": ["a"], "report": {"via": "off"},
	"ceilings": {"cancel": true, "maxAttempts": 4, "retryAfter": true, "maxRetryAfterMs": 500,
		"dialTimeoutMs": 250, "connIdleMs": 15000},
	"classes": [
		{"name": "read", "aimMs": 300, "deadlineMs": 1500, "points": 3, "idempotency": "idempotent"},
		{"name": "write", "aimMs": 400, "deadlineMs": 2500, "points": 2, "idempotency": "deduplicated",
			"keyScope": "cell", "windowMs": 4000},
		{"name": "once", "aimMs": 400, "deadlineMs": 2500, "points": 2, "idempotency": "at_most_once"}
	],
	"contract": {"drainGraceMs": 250},
	"familyInfo": {"meanUnits": 2, "mostUnits": 8, "changesData": [false, true, true]},
	"policies": [{"name": "gold", "baseRate": 99, "guaranteed": 99, "price": 1, "proportion": 1}]
}`

// hostList formats discovery's list of nodes, each given as "name state". The list is on one line because each message
// of a script is.
func hostList(seq int, whole bool, nodes ...string) string {
	var hosts []string
	for shard, node := range nodes {
		name, state, _ := strings.Cut(node, " ")
		hosts = append(hosts, fmt.Sprintf(`{"host":"%s","dial":"%s:1","site":"a","block":%d,"health":"%s","born_ms":0}`,
			name, name, shard, state))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ","))
}

// parseConfig reads a configuration with testSettings and the given other keys.
func parseConfig(t *testing.T, keys string) *config.Config {
	t.Helper()
	return parseConfigWith(t, testSettings, keys)
}

// parseConfigWith reads a configuration with the given settings and other keys.
func parseConfigWith(t *testing.T, settings, keys string) *config.Config {
	t.Helper()
	parsed, err := config.Parse([]byte(`{`+keys+`,"settings":`+settings+`}`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// replaceSetting replaces a part of the settings. The test fails if the settings do not contain it.
func replaceSetting(t *testing.T, settings, part, by string) string {
	t.Helper()
	if !strings.Contains(settings, part) {
		t.Fatalf("the settings do not contain %s", part)
	}
	return strings.Replace(settings, part, by, 1)
}

const objectPath = "/api/00000003b4d60021/7f3a9c21e0b4d655"

// Requests of clients, up to the request ID, which each scenario adds.
const (
	objectRequest = objectPath + " X-Qos-Policy=gold X-Deadline=480m X-Placement=units=2,shard=0,hosts=1"
	getRequest    = "GET " + objectRequest + " X-Class=read X-Request-Id="
	putRequest    = "PUT " + objectRequest + " X-Class=write Idempotency-Key=k X-Request-Id="
	onceRequest   = "PUT " + objectRequest + " X-Class=once X-Request-Id="
)

// The request with which a gateway watches discovery, and the beginning of the response.
const (
	watchRequest  = "discovery expect GET /v1/endpoints?stream=1&index=1\n"
	watchResponse = "discovery send raw HTTP/1.1 200 OK\\nConnection: close\\n\\n"
)

// httpNode is an HTTP node of a script. It shows the request headers that most scenarios check.
var httpNode = scenariotest.HTTP{VisibleHeaders: []string{"X-Request-Id", "Idempotency-Key"}}

// scenario is a script that is played in fake time against a whole gateway with one node, n.
//
// The HTTP clients of the script are called client and other, its iSCSI clients initiator, other-initiator, second,
// third and fourth. The client of the admin API is called operator. The node is called node, discovery is called
// discovery, and moved is the discovery at another address. Messages to file change the configuration that a reload
// reads, and messages to gateway control the gateway itself.
type scenario struct {
	script    string
	node      scenariotest.Codec
	settings  string                       // the platform's settings; empty: testSettings
	iscsi     *config.ISCSI                // nil: the iSCSI frontend is off
	contracts bool                         // whether sheetContracts are in force from the start
	admin     bool                         // whether the admin API is on; the client operator calls it
	shared    string                       // directory shared with another process; empty: none
	rules     string                       // rules in force from the start, by their name in ruleFiles; empty: none
	prepare   func(*scenariotest.Scenario) // adds actors; nil: none
}

// play runs the scenario, checks that the recorded decisions of the gateway can be replayed, and returns the gateway's
// log.
func (s scenario) play(t *testing.T) (log string) {
	t.Helper()
	var logged bytes.Buffer
	captures := t.TempDir()
	scenariotest.Run(t, s.script, func(testbed *scenariotest.Scenario) func() {
		s.addActors(testbed)
		options := s.options(t, testbed)
		options.Log = slog.New(slog.NewJSONHandler(&logged, &slog.HandlerOptions{Level: slog.LevelDebug}))
		options.Operator.Capture.Directory = captures
		addReloads(t, testbed, &options)
		if s.rules != "" {
			options.Operator.Rules.Set = parseRules(t, ruleFiles[s.rules], options.Config.Settings)
		}
		stop, cancel := context.WithCancel(context.Background())
		testbed.Control("gateway", "stop", cancel)
		ended := make(chan error)
		go func() { ended <- Serve(stop, options) }()
		return func() {
			cancel()
			if err := <-ended; err != nil {
				t.Errorf("the gateway ended with an error: %v", err)
			}
		}
	})
	replayRecorded(t, captures)
	return logged.String()
}

func (s scenario) addActors(testbed *scenariotest.Scenario) {
	client := scenariotest.HTTP{
		VisibleHeaders: []string{"X-Request-Id", "Idempotency-Key", "Retry-After", "Connection"},
	}
	testbed.Client("client", "gate:1", client)
	testbed.Client("other", "gate:1", client)
	for _, name := range []string{"initiator", "second", "other-initiator", "third", "fourth"} {
		testbed.Client(name, "iscsi:1", scenariotest.ISCSI{})
	}
	testbed.Client("operator", "admin:1", scenariotest.HTTP{})
	testbed.Server("discovery", "disc:1", scenariotest.HTTP{})
	testbed.Server("moved", "disc:2", scenariotest.HTTP{})
	testbed.Server("node", "n:1", s.node)
	if s.prepare != nil {
		s.prepare(testbed)
	}
}

// options returns the options of a gateway that records the whole scenario.
func (s scenario) options(t *testing.T, testbed *scenariotest.Scenario) Options {
	configuration := parseConfigWith(t, cmp.Or(s.settings, testSettings),
		`"listen":"gate:1","discovery":"disc:1","seed":"1","known":`+hostList(1, true, "n up"))
	operator := config.DefaultOperator()
	operator.ISCSI = s.iscsi
	operator.H2C.Enabled = true
	operator.Capture = config.Capture{
		MemoryKB:     1 << 10,
		DiskMB:       8,
		SegmentMB:    4,
		SegmentAge:   time.Hour,
		MaxTriggered: 1,
	}
	if s.contracts {
		operator.Contracts = parseContracts(t, sheetContracts, configuration.Settings, nil)
	}
	options := Options{
		Config:      configuration,
		Operator:    operator,
		Listener:    testbed.Network.Listen("gate:1"),
		H2CListener: testbed.Network.Listen("h2:1"),
		Dial:        testbed.Network.Dial,
	}
	if s.admin {
		options.AdminListener = testbed.Network.Listen("admin:1")
		options.SharedDirectory = s.shared
	}
	if s.iscsi != nil {
		options.ISCSIListener = testbed.Network.Listen("iscsi:1")
	}
	return options
}

// addReloads lets the script change the configuration that a reload reads, and request reloads.
func addReloads(t *testing.T, testbed *scenariotest.Scenario, options *Options) {
	next, operator := *options.Config, *options.Operator
	settings := next.Settings
	var fault error
	options.Reload = func() (*config.Config, *config.Operator, error) { return &next, &operator, fault }
	testbed.Control("file", "moved", func() { next.Discovery, fault = "disc:2", nil })
	testbed.Control("file", "faulty", func() { next.Discovery, fault = "", errors.New("discovery: is missing") })
	testbed.Control("file", "other classes", func() {
		next.Settings.Classes = slices.Clone(next.Settings.Classes)
		slices.Reverse(next.Settings.Classes)
	})
	testbed.Control("file", "strict contracts", func() {
		strict := func(c *config.Contracts) { c.Undescribed = config.RejectUndescribed }
		operator.Contracts = parseContracts(t, sheetContracts, settings, strict)
	})
	testbed.Control("file", "other contracts", func() {
		other := strings.Replace(sheetContracts, "repeats: safe}", "repeats: safe, aim: 1s, deadline: 2s}", 1)
		operator.Contracts = parseContracts(t, other, settings, nil)
	})
	testbed.Control("file", "no contracts", func() { operator.Contracts.Catalog = nil })
	for name, text := range ruleFiles {
		testbed.Control("file", name+" rules", func() { operator.Rules.Set = parseRules(t, text, settings) })
	}
	reloads := make(chan os.Signal, 1)
	options.Reloads = reloads
	testbed.Control("gateway", "reload", func() {
		select { // drops a signal if one is pending, as os/signal does
		case reloads <- syscall.SIGHUP:
		default:
		}
	})
}

// replayRecorded replays the decisions that a gateway recorded while a script was played. Whatever goes wrong in the
// script, the decisions must be replayable and violate no invariant.
func replayRecorded(t *testing.T, directory string) {
	t.Helper()
	segments, err := filepath.Glob(filepath.Join(directory, "*.segment"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range segments {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		replaytest.ReplayTwice(t, content)
	}
	if len(segments) == 0 {
		t.Error("nothing was recorded")
	}
}
