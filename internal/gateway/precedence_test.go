package gateway

import "testing"

var precedenceScenarios = map[string]string{
	"the description applies if no rule matches": `
		client send ` + describedRead + `
		node expect ` + describedRead + describedReadHeaders + `
		node send 200 hours
		client expect 200 hours`,
	"a rule takes precedence over the description": `
		file send order rules
		gateway send reload
		wait 1ms
		client send ` + describedRead + ` X-Kind=big
		node expect GET /sheets/bridge/7 X-Class=once X-Placement=units=5,shard=0,hosts=1 X-Qos-Policy=gold
		node send 200 hours
		client expect 200 hours`,
	"headers take precedence over rules and descriptions": `
		file send order rules
		gateway send reload
		wait 1ms
		client send GET ` + objectRequest + ` X-Class=read X-Request-Id=r1 X-Kind=big
		node expect GET ` + objectPath + ` X-Class=read X-Placement=units=2,shard=0,hosts=1 X-Qos-Policy=gold
		node send 200 hours
		client expect 200 hours`,
	// The rule sets a key and the class write, which allows retries by key; the description says that the call is
	// unsafe.
	"a rule cannot allow retries that the description forbids": `
		file send keyed rules
		gateway send reload
		wait 1ms
		client send PUT ` + objectRequest + ` X-Class=write X-Request-Id=r1 hello
		node expect PUT ` + objectPath + ` X-Class=write X-Placement=units=2,shard=0,hosts=1 X-Qos-Policy=gold hello
		node close
		client expect 502
		node expect nothing`,
	"a description cannot allow retries that the class of a rule forbids": `
		file send order rules
		gateway send reload
		wait 1ms
		client send ` + describedRead + ` X-Kind=big
		node expect GET /sheets/bridge/7 X-Class=once X-Placement=units=5,shard=0,hosts=1 X-Qos-Policy=gold
		node close
		client expect 502
		node expect nothing`,
}

// The order of precedence is: the request's own headers, rules, the description of its operation. A rule may be given
// precedence over headers. A retry is sent only if both the class and the description allow it.
func TestPrecedenceOfHeadersRulesAndContracts(t *testing.T) {
	for name, script := range precedenceScenarios {
		t.Run(name, func(t *testing.T) {
			scenario{script: script, contracts: true, node: classifiedNode}.play(t)
		})
	}
}
