package scsihttp

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"reachpulley/internal/proto/httpmsg"
	"reachpulley/internal/proto/iscsi"
	"reachpulley/scheduler"
)

const described = "../../api/openapi.yaml"

var settings = scheduler.Settings{Plans: []scheduler.Plan{{Name: "gold"}},
	Classes: []scheduler.Class{{Name: "read"}, {Name: "write", Idempotency: scheduler.IdempotentWithKey}}}

func TestCommandsBecomeOperations(t *testing.T) {
	tr, err := Load(described, settings)
	if err != nil {
		t.Fatal(err)
	}
	for want, c := range map[string]iscsi.Command{
		"GET /api/00000003b4d60021/0000000000000008 gold read":       {LBA: 8, Blocks: 1, BlockSize: 512},
		"PUT /api/00000003b4d60021/0000000000000008 gold write id w": {LBA: 8, Blocks: 1, BlockSize: 512, Write: true, Data: []byte("w")},
	} {
		q := scheduler.Request{ID: "id", Volume: "00000003b4d60021", Key: "0000000000000008", Units: 1, Shard: 3, Hosts: 1}
		if c.Write {
			q.Class = 1
		}
		payload, err := tr.Request(q, &c)
		if err != nil {
			t.Fatal(err)
		}
		r := payload.(*httpmsg.Request)
		got := strings.Join([]string{r.Method, r.URL.RequestURI(), r.Header.Get(httpmsg.PlanHeader), r.Header.Get(httpmsg.ClassHeader),
			r.Header.Get(httpmsg.KeyHeader), string(r.Body)}, " ")
		if diff := cmp.Diff(want, strings.TrimSpace(got)); diff != "" {
			t.Error(diff)
		}
		if r.Header.Get(httpmsg.PlacementHeader) != "units=1,shard=3,hosts=1" {
			t.Error(r.Header)
		}
	}
}

func TestDescriptionsThatDoNotDo(t *testing.T) {
	text, err := os.ReadFile(described)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string][3]string{
		"no write":             {"x-scsi: write", "x-other: write", "x-scsi: no operation"},
		"an unknown command":   {"x-scsi: write", "x-scsi: erase", "PUT /api/{volume}/{key}: x-scsi: \"erase\""},
		"an unknown parameter": {"name: X-Class, in: header", "name: X-Tenant, in: header", "/api/{volume}/{key}: no command has the parameter X-Tenant"},
		"no description":       {"openapi: 3.0.3", "openapi: [", ""},
	} {
		path := filepath.Join(t.TempDir(), "api.yaml")
		if err := os.WriteFile(path, []byte(strings.Replace(string(text), c[0], c[1], 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(path, settings); err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
