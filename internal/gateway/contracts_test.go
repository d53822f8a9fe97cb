package gateway

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"reachpulley/internal/apitest"
	"reachpulley/internal/config"
	"reachpulley/internal/contract"
	"reachpulley/internal/contract/catalog"
	"reachpulley/internal/contract/conformance"
	"reachpulley/internal/scenariotest"
	"reachpulley/scheduler"
)

// sheets describes what the nodes of the scenarios do, and leaves out what nobody may rely on.
const sheets = `
openapi: 3.0.3
info: {title: sheets, version: "1"}
paths:
  /sheets/{project}/{sheet}:
    get:
      operationId: read
      x-contract: {repeats: safe, class: read, units: 1, volume: {in: path, name: project}, data: {in: path, name: sheet}, shard: 0, statuses: {"404": failed, "503": refused}}
      parameters: [{name: project, in: path, required: true, schema: {type: string}}, {name: sheet, in: path, required: true, schema: {type: string}}]
      responses: {"200": {description: it, content: {application/json: {schema: {type: object, required: [hours]}}}}, "404": {description: none}}
    post:
      operationId: write
      x-contract: {repeats: keyed, key: {in: query, name: clock, for: 2s, told: X-Repeated}, class: write, unit_bytes: 2, volume: {in: path, name: project}, data: {in: path, name: sheet}, shard: 0, statuses: {"201": served, "409": may-have-run}}
      parameters: [{name: project, in: path, required: true, schema: {type: string}}, {name: sheet, in: path, required: true, schema: {type: string}}]
      requestBody: {content: {"*/*": {schema: {}}}}
      responses: {"201": {description: stored}}
  /api/{volume}/{data}:
    parameters: [{name: volume, in: path, required: true, schema: {type: string}}, {name: data, in: path, required: true, schema: {type: string}}]
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

// commands describes writes to one unit of the second front, and nothing else of it.
const commands = `{"asyncapi": "3.0.0", "channels": {"w": {"address": "iscsi/1/write"}, "r": {"address": "iscsi/{lun}/read"}},
 "operations": {"write": {"action": "receive", "channel": {"$ref": "#/channels/w"}, "x-contract": {"repeats": "unsafe"}},
 "read": {"action": "receive", "channel": {"$ref": "#/channels/r"}, "x-contract": {"repeats": "safe"}}}}`

// describe gives the descriptions of a scenario as the operator's file does.
func describe(t *testing.T, text string, settings scheduler.Settings, change func(*config.Contracts)) config.Contracts {
	t.Helper()
	c := config.DefaultOperator().Contracts
	c.Plan, c.Rate, c.Burst, c.Sample = "gold", 1, 1, 1
	if change != nil {
		change(&c)
	}
	all, faults := contract.Parse("sheets.yaml", []byte(text))
	more, wrong := contract.Parse("commands.json", []byte(commands))
	all, faults = append(all, more...), append(faults, wrong...)
	if len(faults) == 0 {
		faults, _ = contract.Check(all)
	}
	if len(faults) == 0 {
		c.Catalog, faults = catalog.New(all, settings)
	}
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return c
}

// A client that bears none of the platform's headers is served by descriptions alone, and nothing is done that they do not allow.
func TestContracts(t *testing.T) {
	const read, write = "GET /sheets/bridge/7", "POST /sheets/bridge/7?clock=4711"
	heard := " X-Class=read X-Placement=units=1,shard=0,hosts=1 X-Qos-Policy=gold"
	wrote := " X-Class=write X-Placement=units=3,shard=0,hosts=1 X-Qos-Policy=gold"
	for name, script := range map[string]string{
		"a call that is described is served": `
			client send ` + read + `
			node expect ` + read + heard + `
			node send 200 hours
			client expect 200 hours`,
		"a safe call is sent again after an error": `
			client send ` + read + `
			node expect ` + read + heard + `
			node send 500
			node expect ` + read + heard + `
			node send 200 hours
			client expect 200 hours`,
		"a status that no repeat changes is the client's answer": `
			client send ` + read + `
			node expect ` + read + heard + `
			node send 404 none
			client expect 404 none
			node expect nothing`,
		"a status that is called refused never ran": `
			client send ` + read + `
			node expect ` + read + heard + `
			node send 503
			wait 100ms
			node expect ` + read + heard + `
			node send 200 hours
			client expect 200 hours`,
		"a keyed call goes again with its key, and its own status comes back": `
			client send ` + write + ` hello
			node expect ` + write + wrote + ` hello
			node send 409
			node expect ` + write + wrote + ` hello
			node send 201 stored
			client expect 201 stored`,
		// The class knows keys for 4 s, the description vouches for 2 s only.
		"a key is relied on no longer than its description says": `
			client send ` + write + ` hello
			node expect ` + write + wrote + ` hello
			wait 2001ms
			node close
			client expect 502
			node expect nothing`,
		"a keyed call without its key is told so": `
			client send POST /sheets/bridge/7 hello
			client expect 400 query clock is missing, which class "write" needs
			node expect nothing`,
		"a key that stands twice is none": `
			client send ` + write + `&clock=4712 hello
			client expect 400 query clock is missing, which class "write" needs
			node expect nothing`,
		// The platform's class would allow a repeat by the key: its description is stricter, and wins.
		"a description narrows the class that a client names": `
			client send ` + put + `r1 hello
			node expect PUT ` + path + ` X-Class=write X-Placement=units=2,shard=0,hosts=1 X-Qos-Policy=gold hello
			node close
			client expect 502
			node expect nothing`,
		"a description never widens it": `
			client send ` + strings.Replace(once, "PUT", "GET", 1) + `r1
			node expect GET ` + path + ` X-Class=once X-Placement=units=2,shard=0,hosts=1 X-Qos-Policy=gold
			node close
			client expect 502
			node expect nothing`,
		// It bears the platform's headers, which say where it belongs, and no description has it.
		"what nothing describes is never repeated, and limited": `
			client send GET /other` + facts + ` X-Class=read X-Request-Id=r1
			node expect GET /other` + path + ` X-Class=read X-Placement=units=2,shard=0,hosts=1 X-Qos-Policy=gold
			node close
			client expect 502
			client send GET /other` + facts + ` X-Class=read X-Request-Id=r2
			client expect 429 Retry-After=1.001 too many requests of operations that no description has
			node expect nothing`,
		"what nothing describes and nobody places is turned away": `
			client send GET /payroll
			client expect 400 path: want a volume and a piece of data, 16 hex digits each
			node expect nothing`,
		"a hostile path is no described call": `
			client send GET /sheets/bridge%2F..%2F..%2Fadmin/7
			client expect 400 path: want a volume and a piece of data, 16 hex digits each
			node expect nothing`,
		"what nothing describes is refused where the operator says so": `
			file send strict contracts
			gateway send reload
			wait 1ms
			client send GET /payroll
			client expect 404 no description has this operation
			client send ` + read + `
			node expect ` + read + heard + `
			node send 200 hours
			client expect 200 hours`,
		"descriptions that make other classes wait for the next start": `
			file send other contracts
			gateway send reload
			wait 1ms
			client send ` + read + `
			node expect ` + read + heard + `
			node send 200 hours
			client expect 200 hours`,
		"descriptions can be turned off": `
			file send no contracts
			gateway send reload
			wait 1ms
			client send ` + read + `
			client expect 400 X-Request-Id is missing`,
	} {
		t.Run(name, func(t *testing.T) {
			log := play(t, script, nil, scenariotest.HTTP{Shows: []string{"X-Class", "X-Placement", "X-Qos-Policy"}})
			if strings.Contains(name, "other classes") && !strings.Contains(log, errCatalogChanged.Error()) {
				t.Error(log)
			}
			if strings.HasPrefix(name, "what nothing describes is never") && !strings.Contains(log, `"path":"/other`) {
				t.Error("no sample is logged")
			}
		})
	}
}

// Commands of the second front are bounded by descriptions of channels: a write whose class knows keys goes out once where its description says so, and so does one
// that nothing describes; a read goes again.
func TestContractsOfTheSecondFront(t *testing.T) {
	for name, script := range map[string]string{
		"a write that is described as unsafe": `
			initiator send command tag=1 sn=1 lun=1 write=8+1 data=512*w
			` + nodeLogin + `
			node expect command tag=1 lun=1 write=8+1 data=512*w
			node close
			initiator expect response tag=1 status=check-condition sense=b/44/00
			node expect nothing`,
		"a write that nothing describes": `
			initiator send command tag=1 sn=1 lun=0 write=8+1 data=512*w
			` + nodeLogin + `
			node expect command tag=1 lun=0 write=8+1 data=512*w
			node close
			initiator expect response tag=1 status=check-condition sense=b/44/00
			node expect nothing`,
		"a read": `
			initiator send command tag=1 sn=1 lun=0 read=8+1
			` + nodeLogin + `
			node expect command tag=1 lun=0 read=8+1
			node close
			` + nodeLogin + `
			node expect command tag=1 lun=0 read=8+1
			node send data-in tag=1 data=512*r
			initiator expect data-in tag=1 offset=0 status=good data=512*r`,
	} {
		t.Run(name, func(t *testing.T) { play(t, login+script, secondFront(config.NodesISCSI), scenariotest.ISCSI{}) })
	}
}

// A node that tells of an effect and of none at once is handled with ever more care, and gets trust back by a probation; reloads forget nothing. What each state costs is what
// the decisions do.
func TestContractsAreDistrusted(t *testing.T) {
	const read = "GET /sheets/bridge/7"
	lies := `
		client send ` + read + `
		node expect ` + read + `
		node send 200 X-Not-Run=1 hours
		client expect 200 hours
		wait 1ms
		gateway send reload
		wait 25ms`
	log := play(t, lies+`
		client send `+read+`
		node expect `+read+`
		node close
		client expect 502
		node expect nothing`+lies+`
		client send `+read+`
		wait 30ms
		client expect 503 Retry-After=0.103
		node expect nothing
		wait 80s
		node expect end
		client send `+read+`
		node expect `+read+`
		node send 500
		client expect 502
		node expect nothing`, nil, scenariotest.HTTP{})
	kinds := told(t, log)
	if diff := cmp.Diff([]string{"trusted doubted no second copies", "doubted distrusted avoided", "distrusted on probation no repeats"}, kinds); diff != "" {
		t.Error(diff)
	}
}

// told gives the changes of trust that a log tells of, and holds each to its description.
func told(t *testing.T, log string) (all []string) {
	t.Helper()
	schema := apitest.Schemas(t, "../../api/asyncapi.yaml")("TrustChanged")
	for line := range strings.Lines(log) {
		var entry struct{ Event json.RawMessage }
		var event conformance.Event
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Fatal(err)
		}
		if entry.Event == nil {
			continue
		}
		value, err := jsonschema.UnmarshalJSON(bytes.NewReader(entry.Event))
		if err == nil {
			err = schema.Validate(value)
		}
		if err == nil {
			err = json.Unmarshal(entry.Event, &event)
		}
		if err != nil {
			t.Errorf("%s: %v", entry.Event, err)
		}
		all = append(all, event.From+" "+event.To+" "+event.Level)
	}
	return all
}
