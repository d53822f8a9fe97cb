package gateway

import (
	"testing"

	"reachpulley/internal/config"
	"reachpulley/internal/rules"
	"reachpulley/internal/scenariotest"
	"reachpulley/scheduler"
)

// ruleFiles are the rules of the scenarios: "old" is in force from the start, the others after a reload.
var ruleFiles = map[string]string{
	"old": `
on_fault = "refuse"
[[let]]
name = "project"
is = 'header("X-Project")'
[[rule]]
name = "asker"
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
set = { volume = '"00000003b4d60021"', key = 'hash(project + "/" + param("sheet"))', shard = '0', idempotency = 'hash(who + param("sheet"))' }
[[limit]]
name = "project"
when = 'who != ""'
key = 'who'
rate = 1
burst = 2
per = "gateway"
`,
	"wider": `
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
	"wide": `
[[rule]]
name = "keyed"
stage = "classify"
set.class = '"write"'
[[rule]]
name = "its key"
stage = "key"
set.idempotency = '"k"'
`,
	// A rule for the first front's requests must not stand in the second's way.
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

func ruleSet(t *testing.T, text string, settings scheduler.Settings) *rules.Set {
	if text == "" {
		return nil
	}
	s, err := rules.Parse("rules.toml", []byte(text), settings)
	if err != nil {
		t.Error(err)
	}
	return s
}

// The second front counts by the same limits; its client is the initiator.
func TestRulesOfTheSecondFront(t *testing.T) {
	play(t, login+`
		file send initiators rules
		gateway send reload
		wait 1ms
		initiator send command tag=1 sn=1 read=8+1
		`+nodeLogin+`
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
		secondFront(config.NodesISCSI), scenariotest.ISCSI{})
}

// An old client bears none of the platform's headers; each of its requests has one answer.
func TestRules(t *testing.T) {
	const old = " X-Project=bridge"
	for name, script := range map[string]string{
		"an old client is served, and its node hears what was decided": `
			client send GET /sheets/7` + old + `
			node expect GET /sheets/7 X-Class=read X-Placement=units=1,shard=0,hosts=1 X-Project=bridge X-Qos-Policy=gold
			node send 200 hours
			client expect 200 hours`,
		// The write may have run, and a rule's class allows no second time.
		"a write that a rule calls unsafe is not sent again": `
			client send PUT /sheets/7` + old + ` hello
			node expect PUT /sheets/7 X-Class=once X-Placement=units=2,shard=0,hosts=1 X-Project=bridge X-Qos-Policy=gold hello
			node close
			client expect 502
			wait 1s
			node expect nothing`,
		// The rule left the method open, and the client names a class that only reads.
		"a write never becomes a read by what a client says": `
			client send PUT /sheets/7` + old + ` X-Kind=read hello
			client expect 400 rule writes: class "read" only reads, and PUT writes
			node expect nothing`,
		"a class that is not there is told": `
			client send PUT /sheets/7` + old + ` X-Kind=none hello
			client expect 400 rule writes: class: wants a class of the settings in place of "none"
			node expect nothing`,
		"a header that a rule wants is told": `
			client send GET /sheets/7
			client expect 400 rule place: key: wants the header X-Project
			node expect nothing`,
		"what no rule is for is told": `
			client send GET /other/7` + old + `
			client expect 400 nothing tells the class of this request, and X-Class is missing
			node expect nothing`,
		// Whoever bears the platform's headers does not get the rules' plan by leaving out its own.
		"a header that is left out raises nobody": `
			client send GET ` + path + ` X-Request-Id=r1 X-Class=read X-Deadline=480m X-Placement=units=2,shard=0,hosts=1 X-Project=bridge
			client expect 400 X-Qos-Policy: unknown plan ""
			node expect nothing`,
		"the platform's requests go as ever": `
			client send ` + get + `r1
			node expect GET ` + path + ` X-Class=read X-Placement=units=2,shard=0,hosts=1 X-Qos-Policy=gold
			node send 200 one
			client expect 200 one`,
		"who comes back when told to is taken": `
			client send GET /sheets/7` + old + `
			node expect GET /sheets/7 X-Class=read X-Placement=units=1,shard=0,hosts=1 X-Project=bridge X-Qos-Policy=gold
			node send 200 hours
			client expect 200 hours
			client send GET /sheets/8` + old + `
			node expect GET /sheets/8 X-Class=read X-Placement=units=1,shard=0,hosts=1 X-Project=bridge X-Qos-Policy=gold
			node send 200 hours
			client expect 200 hours
			client send GET /sheets/9` + old + `
			# 5 ms have passed: the connection to the node had to settle
			client expect 429 Retry-After=0.996 limit project is reached
			node expect nothing
			other send GET /sheets/9 X-Project=tunnel
			node expect GET /sheets/9 X-Class=read X-Placement=units=1,shard=0,hosts=1 X-Project=tunnel X-Qos-Policy=gold
			node send 200 hours
			other expect 200 hours
			wait 996ms
			client send GET /sheets/9` + old + `
			node expect GET /sheets/9 X-Class=read X-Placement=units=1,shard=0,hosts=1 X-Project=bridge X-Qos-Policy=gold
			node send 200 hours
			client expect 200 hours`,
		// The request under way keeps its rules; the limit is the same, so what it counted is kept.
		"a reload under load": `
			client send PUT /sheets/7` + old + ` hello
			node expect PUT /sheets/7 X-Class=once X-Placement=units=2,shard=0,hosts=1 X-Project=bridge X-Qos-Policy=gold hello
			file send wider rules
			gateway send reload
			wait 1ms
			node close
			client expect 502
			other send PUT /sheets/8` + old + ` again
			node expect PUT /sheets/8 X-Class=write X-Placement=units=1,shard=0,hosts=1 X-Project=bridge X-Qos-Policy=gold again
			node close
			node expect PUT /sheets/8 X-Class=write X-Placement=units=1,shard=0,hosts=1 X-Project=bridge X-Qos-Policy=gold again
			node send 200 stored
			other expect 200 stored
			other send PUT /sheets/9` + old + ` more
			other expect 429 Retry-After=1.000 limit project is reached`,
		"a faulty file leaves the rules in force": `
			file send wider rules
			file send nonsense
			gateway send reload
			wait 1ms
			client send PUT /sheets/7` + old + ` hello
			node expect PUT /sheets/7 X-Class=once X-Placement=units=2,shard=0,hosts=1 X-Project=bridge X-Qos-Policy=gold hello
			node send 200 stored
			client expect 200 stored`,
		// Checked against the new classes, the class "once" would be numbered as what the running gateway calls "read", and a write be repeated freely.
		"rules by other classes wait for the next start": `
			file send other classes
			file send wider rules
			gateway send reload
			wait 1ms
			client send PUT /sheets/7` + old + ` hello
			node expect PUT /sheets/7 X-Class=once X-Placement=units=2,shard=0,hosts=1 X-Project=bridge X-Qos-Policy=gold hello
			node close
			client expect 502
			node expect nothing`,
		"rules can be turned off": `
			file send no rules
			gateway send reload
			wait 1ms
			client send GET /sheets/7` + old + `
			client expect 400 X-Request-Id is missing`,
		"a client that leaves gives back what it held": `
			client send GET /sheets/7` + old + `
			node expect GET /sheets/7 X-Class=read X-Placement=units=1,shard=0,hosts=1 X-Project=bridge X-Qos-Policy=gold
			client close
			node expect end`,
	} {
		t.Run(name, func(t *testing.T) {
			play(t, script, nil, scenariotest.HTTP{Shows: []string{"X-Class", "X-Placement", "X-Project", "X-Qos-Policy"}})
		})
	}
}
