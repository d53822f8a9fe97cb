package gateway

import (
	"strings"
	"testing"

	"reachpulley/internal/config"
	"reachpulley/internal/rules"
	"reachpulley/internal/scenariotest"
	"reachpulley/scheduler"
)

// ruleFiles holds the rules of the scenarios by name. Scenarios of TestRules begin with "initial"; a reload may apply
// others.
var ruleFiles = map[string]string{
	"initial": `
on_fault = "refuse"
[[let]]
name = "project"
is = 'header("X-Project")'
[[rule]]
name = "client"
stage = "normalise"
when = 'has("X-Project")'
set.who = 'project'
[[rule]]
name = "reads"
stage = "classify"
path = "/sheets/{sheet}"
when = 'method == "GET"'
set = { class = '"read"', plan = '"gold"', units = '1' }
[[rule]]
name = "writes"
stage = "classify"
path = "/sheets/{sheet}"
set = { class = 'default(header("X-Kind"), "once")', plan = '"gold"', units = '2', deadline = 'millis(480)' }
[[rule]]
name = "place"
stage = "key"
path = "/sheets/{sheet}"
set.volume = '"00000003b4d60021"'
set.key = 'hash(project + "/" + param("sheet"))'
set.shard = '0'
set.idempotency = 'hash(who + param("sheet"))'
[[limit]]
name = "project"
when = 'who != ""'
key = 'who'
rate = 1
burst = 2
per = "gateway"
`,
	"all writes": `
[[rule]]
name = "all"
stage = "classify"
path = "/sheets/{sheet}"
set = { class = '"write"', plan = '"gold"', units = '1' }
[[rule]]
name = "place"
stage = "key"
set = { volume = '"00000003b4d60021"', key = '"00000000000000aa"', shard = '0', idempotency = '"k"' }
[[limit]]
name = "project"
key = 'header("X-Project")'
rate = 1
burst = 2
per = "gateway"
`,
	"no": "",
	"order": `
[[rule]]
name = "big"
stage = "classify"
when = 'header("X-Kind") == "big"'
set = { class = '"once"', units = '5' }
`,
	"keyed": `
[[rule]]
name = "keyed"
stage = "classify"
set.class = '"write"'
[[rule]]
name = "its key"
stage = "key"
set.idempotency = '"k"'
`,
	// A rule for HTTP requests must not reject iSCSI commands.
	"initiators": `
[[rule]]
name = "wants a header"
stage = "classify"
set.class = 'header("X-Kind")'
[[limit]]
name = "initiator"
when = 'front == "iscsi" && client == "iqn.a"'
key = 'client'
rate = 1
burst = 1
`,
}

// parseRules parses the text of a rule file. An empty text stands for no rules.
func parseRules(t *testing.T, text string, settings scheduler.Settings) *rules.Set {
	if text == "" {
		return nil
	}
	set, err := rules.Parse("rules.toml", []byte(text), settings)
	if err != nil {
		t.Error(err)
	}
	return set
}

// legacyClient is the only header of a legacy client, which sends none of the platform's.
const legacyClient = " X-Project=bridge"

// Headers with which a node receives the request of a legacy client.
const (
	seenRead  = " X-Class=read X-Placement=units=1,shard=0,hosts=1" + legacyClient + " X-Qos-Policy=gold"
	seenOnce  = " X-Class=once X-Placement=units=2,shard=0,hosts=1" + legacyClient + " X-Qos-Policy=gold"
	seenWrite = " X-Class=write X-Placement=units=1,shard=0,hosts=1" + legacyClient + " X-Qos-Policy=gold"
)

// withoutPlan is a request with all headers of the platform except that of the plan.
var withoutPlan = strings.Replace(getRequest, " X-Qos-Policy=gold", "", 1) + "r1"

var ruleScenarios = map[string]string{
	"a legacy client is served, and the node receives class, placement and plan": `
		client send GET /sheets/7` + legacyClient + `
		node expect GET /sheets/7` + seenRead + `
		node send 200 hours
		client expect 200 hours`,
	// The write may have run at the node.
	"a write that a rule classifies as non-idempotent is not retried": `
		client send PUT /sheets/7` + legacyClient + ` hello
		node expect PUT /sheets/7` + seenOnce + ` hello
		node close
		client expect 502
		wait 1s
		node expect nothing`,
	// The rule matches any method, and takes the class from a header, in which the client names a class that only
	// reads.
	"a client cannot turn a write into a read": `
		client send PUT /sheets/7` + legacyClient + ` X-Kind=read hello
		client expect 400 rule writes: class "read" only reads, and PUT writes
		node expect nothing`,
	"an unknown class is rejected with the reason": `
		client send PUT /sheets/7` + legacyClient + ` X-Kind=none hello
		client expect 400 rule writes: class: wants a class of the settings in place of "none"
		node expect nothing`,
	"a missing header that a rule needs is rejected with the reason": `
		client send GET /sheets/7
		client expect 400 rule place: key: wants the header X-Project
		node expect nothing`,
	"a request that no rule matches is rejected with the reason": `
		client send GET /other/7` + legacyClient + `
		client expect 400 nothing tells the class of this request, and X-Class is missing
		node expect nothing`,
	// Otherwise a client with the platform's headers could get a better plan than its own.
	"a client that leaves out its plan does not get that of a rule": `
		client send ` + withoutPlan + ` X-Project=bridge
		client expect 400 X-Qos-Policy: unknown plan ""
		node expect nothing`,
	"the platform's own requests are unchanged": `
		client send ` + getRequest + `r1
		node expect GET ` + objectPath + ` X-Class=read X-Placement=units=2,shard=0,hosts=1 X-Qos-Policy=gold
		node send 200 one
		client expect 200 one`,
	"a client that retries after Retry-After is accepted": `
		client send GET /sheets/7` + legacyClient + `
		node expect GET /sheets/7` + seenRead + `
		node send 200 hours
		client expect 200 hours
		client send GET /sheets/8` + legacyClient + `
		node expect GET /sheets/8` + seenRead + `
		node send 200 hours
		client expect 200 hours
		client send GET /sheets/9` + legacyClient + `
		client expect 429 Retry-After=1.001 limit project is reached
		node expect nothing
		other send GET /sheets/9 X-Project=tunnel
		node expect GET /sheets/9 X-Class=read X-Placement=units=1,shard=0,hosts=1 X-Project=tunnel X-Qos-Policy=gold
		node send 200 hours
		other expect 200 hours
		wait 1001ms
		client send GET /sheets/9` + legacyClient + `
		node expect GET /sheets/9` + seenRead + `
		node send 200 hours
		client expect 200 hours`,
	// The request in flight keeps the rules with which it began. The limit is unchanged, so its token buckets are kept.
	"a reload while a request is in flight": `
		client send PUT /sheets/7` + legacyClient + ` hello
		node expect PUT /sheets/7` + seenOnce + ` hello
		file send all writes rules
		gateway send reload
		wait 1ms
		node close
		client expect 502
		other send PUT /sheets/8` + legacyClient + ` again
		node expect PUT /sheets/8` + seenWrite + ` again
		node close
		node expect PUT /sheets/8` + seenWrite + ` again
		node send 200 stored
		other expect 200 stored
		other send PUT /sheets/9` + legacyClient + ` more
		other expect 429 Retry-After=1.000 limit project is reached`,
	"a faulty file leaves the rules in force": `
		file send all writes rules
		file send faulty
		gateway send reload
		wait 1ms
		client send PUT /sheets/7` + legacyClient + ` hello
		node expect PUT /sheets/7` + seenOnce + ` hello
		node send 200 stored
		client expect 200 stored`,
	// Rules refer to classes by index. The new settings reverse the order of the classes, so "once" has the index there
	// that "read" has in the running gateway, which would retry writes if it applied rules for the new settings.
	"rules for other classes need a restart": `
		file send other classes
		file send all writes rules
		gateway send reload
		wait 1ms
		client send PUT /sheets/7` + legacyClient + ` hello
		node expect PUT /sheets/7` + seenOnce + ` hello
		node close
		client expect 502
		node expect nothing`,
	"rules can be turned off": `
		file send no rules
		gateway send reload
		wait 1ms
		client send GET /sheets/7` + legacyClient + `
		client expect 400 X-Request-Id is missing`,
	"a client that disconnects ends its attempt": `
		client send GET /sheets/7` + legacyClient + `
		node expect GET /sheets/7` + seenRead + `
		client close
		node expect end`,
}

// Requests without the platform's headers are served by rules, and each of them gets exactly one answer.
func TestRules(t *testing.T) {
	node := scenariotest.HTTP{VisibleHeaders: []string{"X-Class", "X-Placement", "X-Project", "X-Qos-Policy"}}
	for name, script := range ruleScenarios {
		t.Run(name, func(t *testing.T) { scenario{script: script, rules: "initial", node: node}.play(t) })
	}
}

// iSCSI commands count towards the limits of rules, as HTTP requests do. Their client is the initiator.
func TestRulesOfTheISCSIFrontend(t *testing.T) {
	scenario{
		script: initiatorLogin + `
			file send initiators rules
			gateway send reload
			wait 1ms
			initiator send command tag=1 sn=1 read=8+1
			` + nodeLogin + `
			node expect command tag=1 lun=0 read=8+1
			node send data-in tag=1 data=512*r
			initiator expect data-in tag=1 offset=0 status=good data=512*r
			initiator send command tag=2 sn=2 read=8+1
			initiator expect response tag=2 status=busy
			initiator send command tag=3 sn=3 write=8+2 data=512*w
			initiator expect response tag=3 status=busy
			node expect nothing
			wait 1s
			initiator send command tag=4 sn=4 read=8+1
			node expect command tag=2 lun=0 read=8+1
			node send data-in tag=2 data=512*r
			initiator expect data-in tag=4 offset=0 status=good data=512*r`,
		iscsi: iscsiFrontend(config.NodesISCSI),
		rules: "initial",
		node:  scenariotest.ISCSI{},
	}.play(t)
}
