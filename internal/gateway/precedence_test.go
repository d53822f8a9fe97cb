package gateway

import "testing"

var precedenceScenarios = map[string]string{
	"the description applies where no rule does": `
		client send ` + describedRead + `
		node expect ` + describedRead + describedReadFacts + `
		node send 200 hours
		client expect 200 hours`,
	"a rule goes before the description": `
		file send order rules
		gateway send reload
		wait 1ms
		client send ` + describedRead + ` X-Kind=big
		node expect GET /sheets/bridge/7 X-Class=once X-Placement=units=5,shard=0,hosts=1 X-Qos-Policy=gold
		node send 200 hours
		client expect 200 hours`,
	"headers go before both": `
		file send order rules
		gateway send reload
		wait 1ms
		client send GET ` + objectRequest + ` X-Class=read X-Request-Id=r1 X-Kind=big
		node expect GET ` + objectPath + ` X-Class=read X-Placement=units=2,shard=0,hosts=1 X-Qos-Policy=gold
		node send 200 hours
		client expect 200 hours`,
	// The rule gives the key and the class write, which knows keys; the description says that the call is unsafe.
	"no rule widens a description": `
		file send wide rules
		gateway send reload
		wait 1ms
		client send PUT ` + objectRequest + ` X-Class=write X-Request-Id=r1 hello
		node expect PUT ` + objectPath + ` X-Class=write X-Placement=units=2,shard=0,hosts=1 X-Qos-Policy=gold hello
		node close
		client expect 502
		node expect nothing`,
	"no description widens a rule": `
		file send order rules
		gateway send reload
		wait 1ms
		client send ` + describedRead + ` X-Kind=big
		node expect GET /sheets/bridge/7 X-Class=once X-Placement=units=5,shard=0,hosts=1 X-Qos-Policy=gold
		node close
		client expect 502
		node expect nothing`,
}

// The order of precedence: the request's own headers, rules, the description of its operation. A rule may be given
// precedence over headers; nothing goes beyond what class and description allow.
func TestContractsAfterRules(t *testing.T) {
	for name, script := range precedenceScenarios {
		t.Run(name, func(t *testing.T) {
			scenario{script: script, contracts: true, node: factsNode}.play(t)
		})
	}
}
