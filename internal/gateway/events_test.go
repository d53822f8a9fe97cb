package gateway

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"reachpulley/internal/apitest"
)

// The logged events of the iSCSI frontend match their schemas in api/asyncapi.yaml.
func TestEventsMatchTheirSchemas(t *testing.T) {
	log := playISCSI(t, initiatorLogin+`
		initiator send command tag=1 sn=1 read=8+1
		`+nodeLogin+`
		node expect command tag=1 lun=0 read=8+1
		node send data-in tag=1 data=512*r
		initiator expect data-in tag=1 offset=0 status=good data=512*r
		initiator send command tag=2 sn=2 write=8+1 data=512*w
		node expect command tag=2 lun=0 write=8+1 data=512*w
		node close
		initiator expect response tag=2 status=check-condition sense=b/44/00
		initiator close`)
	schema := apitest.Schemas(t, "../../api/asyncapi.yaml")
	schemaNames := map[string]string{
		"session-opened": "SessionOpened",
		"session-closed": "SessionClosed",
		"command-ended":  "CommandEnded",
	}
	var kinds []string
	for _, logged := range loggedEvents(t, log) {
		var event struct{ Kind string }
		if err := json.Unmarshal(logged, &event); err != nil {
			t.Fatal(err)
		}
		kinds = append(kinds, event.Kind)
		if err := validate(schema(schemaNames[event.Kind]), logged); err != nil {
			t.Errorf("event %s does not match its schema: %v", logged, err)
		}
	}
	want := []string{"session-opened", "command-ended", "command-ended", "session-closed"}
	if diff := cmp.Diff(want, kinds); diff != "" {
		t.Errorf("kinds of events (-want +got):\n%s", diff)
	}
}

// loggedEvents returns the events in a log.
func loggedEvents(t *testing.T, log string) (events []json.RawMessage) {
	t.Helper()
	for line := range strings.Lines(log) {
		var entry struct{ Event json.RawMessage }
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Fatal(err)
		}
		if entry.Event != nil {
			events = append(events, entry.Event)
		}
	}
	return events
}

// validate checks an event against its schema.
func validate(schema *jsonschema.Schema, event json.RawMessage) error {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(event))
	if err != nil {
		return err
	}
	return schema.Validate(value)
}
