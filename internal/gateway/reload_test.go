package gateway

import (
	"strings"
	"testing"
)

// moveDiscovery changes the address of discovery in the configuration and lets the gateway reload it twice.
const moveDiscovery = `
	file send moved
	gateway send reload
	gateway send reload
	discovery expect end
	moved expect GET /v1/endpoints?stream=1&index=0
`

// movedResponse is the beginning of the response of discovery at the new address.
var movedResponse = strings.ReplaceAll(watchResponse, "discovery", "moved")

// faultyFileScenario is the scenario in which the configuration is rejected.
const faultyFileScenario = "a faulty file changes nothing"

var reloadScenarios = map[string]string{
	// The new discovery counts versions of its list by itself. Until its first list arrives, the old list is kept.
	"discovery moves and is watched at its new address": watchRequest + moveDiscovery + `
		client send ` + getRequest + `r1
		node expect GET ` + objectPath + ` X-Request-Id=r1
		node send 200 one
		client expect 200 one
		` + movedResponse + hostList(1, false, "n draining") + `\n
		client send ` + getRequest + `r2
		wait 250ms
		node expect nothing`,
	faultyFileScenario: watchRequest + `
		file send faulty
		gateway send reload
		wait 1s
		discovery expect nothing
		` + watchResponse + hostList(2, false, "n draining") + `\n
		client send ` + getRequest + `r1
		wait 250ms
		node expect nothing`,
	"a reload does not interrupt a stop, and drains of nodes are still followed": watchRequest + `
		client send ` + getRequest + `r1
		node expect GET ` + objectPath + ` X-Request-Id=r1
		gateway send stop
		` + moveDiscovery + movedResponse + hostList(1, false, "n draining") + `\n
		other send ` + getRequest + `r2
		wait 250ms
		node expect nothing
		node send 200 one
		client expect 200 Connection=close one`,
}

func TestReload(t *testing.T) {
	for name, script := range reloadScenarios {
		t.Run(name, func(t *testing.T) {
			log := scenario{script: script, node: httpNode}.play(t)
			rejected := strings.Contains(log, "discovery: is missing")
			if rejected != (name == faultyFileScenario) {
				t.Errorf("the fault of the file is logged: %v, want %v", rejected, !rejected)
			}
		})
	}
}
