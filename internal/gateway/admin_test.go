package gateway

import (
	"testing"

	"reachpulley/internal/maintenance"
)

// call formats a call of the admin API with the status and the reason of its answer.
func call(call, status, reason string) string {
	return "operator send " + call + "\noperator expect " + status + ` {"reason":"` + reason + `"}` +
		"\noperator expect end\n"
}

const (
	nodeOffline = "POST /control/storage-nodes/n/offline"
	nodeOnline  = "POST /control/storage-nodes/n/online"
)

// served is a request that the node serves, after the time within which its connections may not be reused.
func served(id string) string {
	return `wait 50ms
		client send ` + getRequest + id + `
		node expect GET ` + objectPath + ` X-Request-Id=` + id + `
		node send 200 ` + id + `
		client expect 200 ` + id + "\n"
}

// notForwarded is a request that the node does not get, and that is answered as rejected. The time after which its
// client may retry is random.
func notForwarded(id, retryAfter string) string {
	return `client send ` + getRequest + id + `
		wait 1500ms
		node expect nothing
		client expect 503 Retry-After=` + retryAfter + "\n"
}

var adminScenarios = map[string]string{
	"a gateway that knows nodes is ready": call("GET /control/ready", "200", "ready"),
	"a gateway that stops is not ready": `
		gateway send stop
		` + call("GET /control/ready", "503", "this process cannot serve clients yet or is stopping"),
	"calls that do not exist are rejected": call("GET /control/nothing", "404", "there is no such call") +
		call("POST /control/ready", "405", "GET is wanted") +
		call("GET /control/in-service", "405", "POST is wanted"),
	"a node that was never listed is unknown": call("POST /control/storage-nodes/x/offline", "404",
		"node was never listed"),
	"an offline node gets nothing until one call back, whatever discovery says": served("r1") + watchRequest +
		call(nodeOffline, "200", "done") + call(nodeOffline, "200", "done") + notForwarded("r2", "0.112") +
		watchResponse + hostList(2, true, "n up") + "\\n\n" + notForwarded("r3", "0.114") +
		"discovery send raw " + hostList(3, false, "n draining") + "\\n\n" +
		"discovery send raw " + hostList(4, false, "n up") + "\\n\n" + notForwarded("r4", "0.100") +
		call(nodeOnline, "200", "done") + served("r5"),
	"an offline node gets nothing after a reload that moves discovery": served("r1") +
		call(nodeOffline, "200", "done") + `
		file send moved
		gateway send reload
		moved expect GET /v1/endpoints?stream=1&index=0
		moved send raw HTTP/1.1 200 OK\nConnection: close\n\n` + hostList(7, true, "n up") + "\\n\n" +
		notForwarded("r2", "0.112") + call(nodeOnline, "200", "done") + served("r3"),
	"a node that drains is not up after the call back": served("r1") + watchRequest +
		watchResponse + hostList(2, false, "n draining") + "\\n\n" +
		call(nodeOffline, "200", "done") + call(nodeOnline, "200", "done") + notForwarded("r2", "0.112"),
	"out of service, each connection ends after its response, and requests are served": `
		client send GET /ready
		client expect 200
		` + served("r1") + call("POST /control/out-of-service", "200", "done") + `
		other send GET /ready
		other expect 503
		client send ` + getRequest + `r2
		node expect GET ` + objectPath + ` X-Request-Id=r2
		node send 200 r2
		client expect 200 Connection=close r2
		client expect end
		wait 500ms
		other expect end
		` + call("POST /control/in-service", "200", "done") + `
		client send GET /ready
		client expect 200
		` + served("r3"),
}

func TestAdminAPI(t *testing.T) {
	for name, script := range adminScenarios {
		t.Run(name, func(t *testing.T) {
			scenario{script: script, node: httpNode, admin: true}.play(t)
		})
	}
}

// Two processes of one gateway agree on the nodes that are offline: one that starts knows them, and follows what the
// other one stores.
func TestMaintenanceIsSharedBetweenProcesses(t *testing.T) {
	directory := t.TempDir()
	other := maintenance.NewFile(directory)
	if err := other.Store([]string{"n"}); err != nil {
		t.Fatal(err)
	}
	script := notForwarded("r1", "0.101") + call(nodeOnline, "200", "done") + served("r2")
	scenario{script: script, node: httpNode, admin: true, shared: directory}.play(t)
	offline, changed, err := other.Load()
	if len(offline) != 0 || !changed || err != nil {
		t.Errorf("stored state: %q, changed %v, error %v, want a change to none offline", offline, changed, err)
	}
}
