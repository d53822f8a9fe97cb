package gateway

import (
	"os"
	"strings"
	"testing"

	"reachpulley/internal/scenariotest"
)

// retryTableHead is the head of the table in docs/design.md that TestRetryTable plays.
const retryTableHead = "| clients | nodes | class | key scope | the attempt | retried | final answer |"

// readRetryTable returns the rows of the table.
func readRetryTable(t *testing.T) (rows [][]string) {
	t.Helper()
	page, err := os.ReadFile("../../docs/design.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(page), retryTableHead+"\n")
	if !found {
		t.Fatalf("docs/design.md lacks the table %q", retryTableHead)
	}
	for line := range strings.Lines(table) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			break
		}
		if strings.HasPrefix(line, "| ---") {
			continue
		}
		var cells []string
		for cell := range strings.SplitSeq(strings.Trim(line, "|"), "|") {
			cells = append(cells, strings.TrimSpace(cell))
		}
		rows = append(rows, cells)
	}
	return rows
}

// retryCase is a row of the table.
type retryCase struct {
	clients, nodes, class, scope, attempt string
	retried                               bool
	answer                                string
}

// classSettings are the settings of a class of the table.
var classSettings = map[string]string{
	"idempotent":     `"idempotency": "idempotent"`,
	"with key":       `"idempotency": "deduplicated"`,
	"non-idempotent": `"idempotency": "at_most_once"`,
}

// scopeSettings are the settings of a key scope of the table.
var scopeSettings = map[string]string{"all": "all", "zone": "zone", "shard": "cell", "": "cell"}

// TestRetryTable plays every row of the table in docs/design.md against a whole gateway that allows two attempts: both
// attempts of a write end as the row says.
//
// It guards against BUSY after an attempt that may have run, if the nodes cannot recognize the client's retry
// (docs/incidents/2026-12-04-busy-after-possible-run.md).
func TestRetryTable(t *testing.T) {
	rows := readRetryTable(t)
	if want := 30; len(rows) != want { // 3 pairs of clients and nodes, 5 classes and scopes, 2 ends of an attempt
		t.Fatalf("the table has %d rows, want %d", len(rows), want)
	}
	for _, row := range rows {
		t.Run(strings.Join(row[:5], ", "), func(t *testing.T) {
			c := retryCase{row[0], row[1], row[2], row[3], row[4], row[5] == "yes", row[6]}
			c.play(t)
		})
	}
}

func (c retryCase) play(t *testing.T) {
	settings := replaceSetting(t, testSettings,
		`"idempotency": "deduplicated",
			"keyScope": "cell"`, classSettings[c.class]+`, "keyScope": "`+scopeSettings[c.scope]+`"`)
	settings = replaceSetting(t, settings,
		`"maxAttempts": 4, "retryAfter": true`, `"maxAttempts": 2, "retryAfter": false`)
	s := scenario{
		script:   c.script(),
		node:     scenariotest.HTTP{VisibleHeaders: []string{"X-Class"}},
		settings: settings,
	}
	if c.clients == "iSCSI" {
		s.iscsi = iscsiFrontend(strings.ToLower(c.nodes))
		s.iscsi.Units[0].WriteClass = 1 // the class that the settings above change
	}
	if c.nodes == "iSCSI" {
		s.node = scenariotest.ISCSI{}
	}
	s.play(t)
}

// script returns the script of a row.
func (c retryCase) script() string {
	attempt, lost, notRun, login := c.nodeMessages()
	end := notRun
	if c.attempt == "may have run" {
		end = lost
	}
	script := c.request() + login + "node expect " + attempt + "\n" + end
	if c.retried {
		if c.attempt == "may have run" {
			script += login // on a new connection
		} else {
			attempt = strings.Replace(attempt, "tag=1", "tag=2", 1)
			end = strings.Replace(end, "tag=1", "tag=2", 1)
		}
		script += "node expect " + attempt + "\n" + end
	}
	return script + c.finalAnswer()
}

// request returns the lines in which the client sends its request.
func (c retryCase) request() string {
	if c.clients == "iSCSI" {
		return initiatorLogin + "initiator send command tag=1 sn=1 write=8+1 data=512*w\n"
	}
	return "client send " + putRequest + "r1 hello\n"
}

// nodeMessages returns what the node receives in an attempt, the lines in which it ends an attempt that may have run
// and one that never ran, and the lines in which a connection to it begins.
func (c retryCase) nodeMessages() (attempt, lost, notRun, login string) {
	const block = "/api/00000003b4d60021/0000000000000008"
	lost = "node close\n"
	notRun = "node send 503 X-Not-Run=1\n"
	switch {
	case c.clients == "HTTP":
		attempt = "PUT " + objectPath + " X-Class=write hello"
	case c.nodes == "HTTP":
		attempt = "PUT " + block + " X-Class=write " + strings.Repeat("w", 512)
	default:
		attempt = "command tag=1 lun=0 write=8+1 data=512*w"
		notRun = "node send response tag=1 status=8\n" // BUSY
		login = nodeLogin
	}
	return attempt, lost, notRun, login
}

// finalAnswers are the lines in which the client receives the final answers of the table.
var finalAnswers = map[string]string{
	"503":             "client expect 503\n",
	"502":             "client expect 502\n",
	"BUSY":            "initiator expect response tag=1 status=busy\n",
	"CHECK CONDITION": "initiator expect response tag=1 status=check-condition sense=b/44/00\n",
}

// finalAnswer returns the lines in which the client receives its final answer, and after which nothing more is sent.
func (c retryCase) finalAnswer() string {
	return finalAnswers[c.answer] + "wait 5s\nnode expect nothing\n"
}
