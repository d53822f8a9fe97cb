package gateway

import (
	"testing"

	"reachpulley/internal/scenariotest"
)

// Who says what, in this order: the request's own headers, rules, the description of its operation. A rule may go before the headers; nothing goes before
// the least that class and description allow.
func TestContractsAfterRules(t *testing.T) {
	const read, heard = "GET /sheets/bridge/7", "GET /sheets/bridge/7 X-Class=read X-Placement=units=1,shard=0,hosts=1 X-Qos-Policy=gold"
	for name, script := range map[string]string{
		"the description, where no rule says anything": `
			client send ` + read + `
			node expect ` + heard + `
			node send 200 hours
			client expect 200 hours`,
		"a rule before the description": `
			file send order rules
			gateway send reload
			wait 1ms
			client send ` + read + ` X-Kind=big
			node expect GET /sheets/bridge/7 X-Class=once X-Placement=units=5,shard=0,hosts=1 X-Qos-Policy=gold
			node send 200 hours
			client expect 200 hours`,
		"a header before both": `
			file send order rules
			gateway send reload
			wait 1ms
			client send GET ` + facts + ` X-Class=read X-Request-Id=r1 X-Kind=big
			node expect GET ` + path + ` X-Class=read X-Placement=units=2,shard=0,hosts=1 X-Qos-Policy=gold
			node send 200 hours
			client expect 200 hours`,
		// The rule gives the class write, which knows keys, and the key; the description says that the call is unsafe.
		"no rule widens a description": `
			file send wide rules
			gateway send reload
			wait 1ms
			client send PUT ` + facts + ` X-Class=write X-Request-Id=r1 hello
			node expect PUT ` + path + ` X-Class=write X-Placement=units=2,shard=0,hosts=1 X-Qos-Policy=gold hello
			node close
			client expect 502
			node expect nothing`,
		"no description widens a rule": `
			file send order rules
			gateway send reload
			wait 1ms
			client send ` + read + ` X-Kind=big
			node expect GET /sheets/bridge/7 X-Class=once X-Placement=units=5,shard=0,hosts=1 X-Qos-Policy=gold
			node close
			client expect 502
			node expect nothing`,
	} {
		t.Run(name, func(t *testing.T) {
			play(t, script, nil, scenariotest.HTTP{Shows: []string{"X-Class", "X-Placement", "X-Qos-Policy"}})
		})
	}
}
