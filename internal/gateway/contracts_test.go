package gateway

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/apitest"
	"reachpulley/internal/config"
	"reachpulley/internal/contract"
	"reachpulley/internal/contract/catalog"
	"reachpulley/internal/contract/conformance"
	"reachpulley/internal/scenariotest"
	"reachpulley/scheduler"
)

// sheetContracts describes the operations of the nodes in the scenarios. Those under /other and /payroll have no
// description.
const sheetContracts = `
openapi: 3.0.3
info: {title: sheets, version: "1"}
paths:
  /sheets/{project}/{sheet}:
    get:
      operationId: read
      x-contract:
        repeats: safe
        class: read
        units: 1
        volume: {in: path, name: project}
        data: {in: path, name: sheet}
        shard: 0
        statuses: {"404": failed, "503": refused}
      parameters:
        - {name: project, in: path, required: true, schema: {type: string}}
        - {name: sheet, in: path, required: true, schema: {type: string}}
      responses:
        "200": {description: it, content: {application/json: {schema: {type: object, required: [hours]}}}}
        "404": {description: none}
    post:
      operationId: write
      x-contract:
        repeats: keyed
        key: {in: query, name: clock, for: 2s, told: X-Repeated}
        class: write
        unit_bytes: 2
        volume: {in: path, name: project}
        data: {in: path, name: sheet}
        shard: 0
        statuses: {"201": served, "409": may-have-run}
      parameters:
        - {name: project, in: path, required: true, schema: {type: string}}
        - {name: sheet, in: path, required: true, schema: {type: string}}
      requestBody: {content: {"*/*": {schema: {}}}}
      responses: {"201": {description: stored}}
  /api/{volume}/{data}:
    parameters:
      - {name: volume, in: path, required: true, schema: {type: string}}
      - {name: data, in: path, required: true, schema: {type: string}}
    put:
      operationId: platform
      x-contract: {repeats: unsafe}
      requestBody: {content: {"*/*": {schema: {}}}}
      responses: {"200": {description: stored}}
    get:
      operationId: platformRead
      x-contract: {repeats: safe}
      responses: {"200": {description: it}}
`

// commandContracts describes writes to one unit of the iSCSI frontend, and reads from all units.
const commandContracts = `{
	"asyncapi": "3.0.0",
	"channels": {
		"w": {"address": "iscsi/1/write"},
		"r": {"address": "iscsi/{lun}/read"}
	},
	"operations": {
		"write": {"action": "receive", "channel": {"$ref": "#/channels/w"}, "x-contract": {"repeats": "unsafe"}},
		"read": {"action": "receive", "channel": {"$ref": "#/channels/r"}, "x-contract": {"repeats": "safe"}}
	}
}`

// parseContracts returns the table [contracts] of the operator's file, with the descriptions in text and in
// commandContracts in force. The table accepts one undescribed call per second, unless change alters that.
func parseContracts(
	t *testing.T, text string, settings scheduler.Settings, change func(*config.Contracts),
) config.Contracts {
	t.Helper()
	contracts := config.DefaultOperator().Contracts
	contracts.DefaultPlan = "gold"
	contracts.UndescribedRate = 1
	contracts.UndescribedBurst = 1
	contracts.SampleShare = 1
	if change != nil {
		change(&contracts)
	}
	operations, faults := contract.Parse("sheets.yaml", []byte(text))
	commands, commandFaults := contract.Parse("commands.json", []byte(commandContracts))
	operations = append(operations, commands...)
	faults = append(faults, commandFaults...)
	if len(faults) == 0 {
		faults, _ = contract.Check(operations)
	}
	if len(faults) == 0 {
		contracts.Catalog, faults = catalog.New(operations, settings)
	}
	if len(faults) > 0 {
		t.Fatalf("faults in the contracts of the test: %v", faults)
	}
	return contracts
}

// classifiedNode is an HTTP node of a script. It shows the headers with the class, placement and plan that the gateway
// determined for a request.
var classifiedNode = scenariotest.HTTP{VisibleHeaders: []string{"X-Class", "X-Placement", "X-Qos-Policy"}}

// Calls that sheetContracts describes, and the headers with which a node receives them.
const (
	describedRead         = "GET /sheets/bridge/7"
	describedReadHeaders  = " X-Class=read X-Placement=units=1,shard=0,hosts=1 X-Qos-Policy=gold"
	describedWrite        = "POST /sheets/bridge/7?clock=4711"
	describedWriteHeaders = " X-Class=write X-Placement=units=3,shard=0,hosts=1 X-Qos-Policy=gold"
)

// wantLogged holds, by scenario, a text that the log must contain.
var wantLogged = map[string]string{
	"descriptions that generate other classes need a restart": errCatalogChanged.Error(),
	"an undescribed call is never retried, and limited":       `"path":"/other`,
}

var contractScenarios = map[string]string{
	"a described call is served": `
		client send ` + describedRead + `
		node expect ` + describedRead + describedReadHeaders + `
		node send 200 hours
		client expect 200 hours`,
	"an idempotent call is retried after an error": `
		client send ` + describedRead + `
		node expect ` + describedRead + describedReadHeaders + `
		node send 500
		node expect ` + describedRead + describedReadHeaders + `
		node send 200 hours
		client expect 200 hours`,
	"a status that no retry would change is returned to the client": `
		client send ` + describedRead + `
		node expect ` + describedRead + describedReadHeaders + `
		node send 404 none
		client expect 404 none
		node expect nothing`,
	"a call whose status is described as a rejection is retried": `
		client send ` + describedRead + `
		node expect ` + describedRead + describedReadHeaders + `
		node send 503
		wait 100ms
		node expect ` + describedRead + describedReadHeaders + `
		node send 200 hours
		client expect 200 hours`,
	"a keyed call is retried with its key, and the status of the operation is returned": `
		client send ` + describedWrite + ` hello
		node expect ` + describedWrite + describedWriteHeaders + ` hello
		node send 409
		node expect ` + describedWrite + describedWriteHeaders + ` hello
		node send 201 stored
		client expect 201 stored`,
	// Keys of the class are valid for 4 s, but the description guarantees only 2 s.
	"a keyed call is not retried after the time that its description guarantees": `
		client send ` + describedWrite + ` hello
		node expect ` + describedWrite + describedWriteHeaders + ` hello
		wait 2001ms
		node close
		client expect 502
		node expect nothing`,
	"a keyed call without its key is rejected": `
		client send POST /sheets/bridge/7 hello
		client expect 400 query clock is missing, which class "write" needs
		node expect nothing`,
	"a key that is given twice is rejected": `
		client send ` + describedWrite + `&clock=4712 hello
		client expect 400 query clock is missing, which class "write" needs
		node expect nothing`,
	// The platform's class allows a retry by the key, but the description is stricter and wins.
	"a description forbids retries that the class named by a client allows": `
		client send ` + putRequest + `r1 hello
		node expect PUT ` + objectPath + ` X-Class=write X-Placement=units=2,shard=0,hosts=1 X-Qos-Policy=gold hello
		node close
		client expect 502
		node expect nothing`,
	"a description cannot allow retries that the class named by a client forbids": `
		client send ` + strings.Replace(onceRequest, "PUT", "GET", 1) + `r1
		node expect GET ` + objectPath + ` X-Class=once X-Placement=units=2,shard=0,hosts=1 X-Qos-Policy=gold
		node close
		client expect 502
		node expect nothing`,
	// The call has the platform's headers, which contain its placement, but no description.
	"an undescribed call is never retried, and limited": `
		client send GET /other` + objectRequest + ` X-Class=read X-Request-Id=r1
		node expect GET /other` + objectPath + ` X-Class=read X-Placement=units=2,shard=0,hosts=1 X-Qos-Policy=gold
		node close
		client expect 502
		client send GET /other` + objectRequest + ` X-Class=read X-Request-Id=r2
		client expect 429 Retry-After=1.001 too many requests of operations that no description has
		node expect nothing`,
	"an undescribed call without a placement is rejected": `
		client send GET /payroll
		client expect 400 path: want a volume and a piece of data, 16 hex digits each
		node expect nothing`,
	"a hostile path matches no description": `
		client send GET /sheets/bridge%2F..%2F..%2Fadmin/7
		client expect 400 path: want a volume and a piece of data, 16 hex digits each
		node expect nothing`,
	"an undescribed call is rejected if the operator has configured that": `
		file send strict contracts
		gateway send reload
		wait 1ms
		client send GET /payroll
		client expect 404 no description has this operation
		client send ` + describedRead + `
		node expect ` + describedRead + describedReadHeaders + `
		node send 200 hours
		client expect 200 hours`,
	"descriptions that generate other classes need a restart": `
		file send other contracts
		gateway send reload
		wait 1ms
		client send ` + describedRead + `
		node expect ` + describedRead + describedReadHeaders + `
		node send 200 hours
		client expect 200 hours`,
	"descriptions can be turned off": `
		file send no contracts
		gateway send reload
		wait 1ms
		client send ` + describedRead + `
		client expect 400 X-Request-Id is missing`,
}

// A client that sends none of the platform's headers is served as the descriptions say, and the gateway does nothing
// that they do not allow.
func TestContracts(t *testing.T) {
	for name, script := range contractScenarios {
		t.Run(name, func(t *testing.T) {
			log := scenario{script: script, contracts: true, node: classifiedNode}.play(t)
			if want := wantLogged[name]; !strings.Contains(log, want) {
				t.Errorf("the log does not contain %q:\n%s", want, log)
			}
		})
	}
}

// Descriptions of channels restrict iSCSI commands. A write whose class allows retries by key is sent only once if its
// description says that it is unsafe, and so is a write without a description. A read is retried.
func TestContractsOfTheISCSIFrontend(t *testing.T) {
	for name, script := range map[string]string{
		"a write that is described as unsafe is not retried": `
			initiator send command tag=1 sn=1 lun=1 write=8+1 data=512*w
			` + nodeLogin + `
			node expect command tag=1 lun=1 write=8+1 data=512*w
			node close
			initiator expect response tag=1 status=check-condition sense=b/44/00
			node expect nothing`,
		"a write without a description is not retried": `
			initiator send command tag=1 sn=1 lun=0 write=8+1 data=512*w
			` + nodeLogin + `
			node expect command tag=1 lun=0 write=8+1 data=512*w
			node close
			initiator expect response tag=1 status=check-condition sense=b/44/00
			node expect nothing`,
		"a read is retried": `
			initiator send command tag=1 sn=1 lun=0 read=8+1
			` + nodeLogin + `
			node expect command tag=1 lun=0 read=8+1
			node close
			` + nodeLogin + `
			node expect command tag=1 lun=0 read=8+1
			node send data-in tag=1 data=512*r
			initiator expect data-in tag=1 offset=0 status=good data=512*r`,
	} {
		t.Run(name, func(t *testing.T) {
			scenario{
				script:    initiatorLogin + script,
				iscsi:     iscsiFrontend(config.NodesISCSI),
				contracts: true,
				node:      scenariotest.ISCSI{},
			}.play(t)
		})
	}
}

// A node that responds with success and with X-Not-Run at the same time contradicts itself. After the first such
// response it must be doubted, after the second distrusted, and 80 s later on probation. Reloads must not reset its
// state. The scheduler decides what each state restricts: here, no request is sent to the node while it is distrusted,
// and none is retried while it is doubted or on probation.
func TestContractViolationsAreDistrusted(t *testing.T) {
	const violation = `
		client send ` + describedRead + `
		node expect ` + describedRead + `
		node send 200 X-Not-Run=1 hours
		client expect 200 hours
		wait 1ms
		gateway send reload
		wait 49ms`
	log := scenario{
		script: violation + `
			client send ` + describedRead + `
			node expect ` + describedRead + `
			node close
			client expect 502
			node expect nothing` + violation + `
			client send ` + describedRead + `
			wait 30ms
			client expect 503 Retry-After=0.103
			node expect nothing
			wait 80s
			node expect end
			client send ` + describedRead + `
			node expect ` + describedRead + `
			node send 500
			client expect 502
			node expect nothing`,
		contracts: true,
		node:      scenariotest.HTTP{},
	}.play(t)
	want := []string{
		"trusted doubted no second copies",
		"doubted distrusted avoided",
		"distrusted on probation no repeats",
	}
	if diff := cmp.Diff(want, trustChanges(t, log)); diff != "" {
		t.Errorf("changes of trust (-want +got):\n%s", diff)
	}
}

// trustChanges returns the changes of trust in a log, each as "FROM TO LEVEL", and checks them against their schema.
func trustChanges(t *testing.T, log string) (changes []string) {
	t.Helper()
	schema := apitest.Schemas(t, "../../api/asyncapi.yaml")("TrustChanged")
	for _, logged := range loggedEvents(t, log) {
		var event conformance.Event
		err := validate(schema, logged)
		if err == nil {
			err = json.Unmarshal(logged, &event)
		}
		if err != nil {
			t.Errorf("%s: %v", logged, err)
		}
		changes = append(changes, event.From+" "+event.To+" "+event.Level)
	}
	return changes
}
