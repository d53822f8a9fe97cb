package simprotocol

import (
	"strings"
	"testing"
)

const settingsText = `{"siblings":3,"zone":2,"tickMs":2.0,"membershipMode":"ask","strange":[1],` +
	`"callers":{"marksRetry":true},` +
	`"ceilings":{"cancel":true,"maxAttempts":4,"maxRetryAfterMs":1000.0,"probes":true,"retryAfter":true},` +
	`"classes":[{"aimMs":300.0,"deadlineMs":2500.0,"idempotency":"deduplicated","inTurn":true,` +
	`"keyScope":"cell","lateShare":0.2,"name":"w","points":2.0,"stream":false,"windowMs":4000.0}],` +
	`"contract":{"coldFrom":0.16,"drainGraceMs":500.0,"overloadForMs":3000.0,"turnGapMs":200.0,` +
	`"warmWithinMs":17000.0},"familyInfo":{"meanUnits":2.08,"mostUnits":6,"youngLimit":37.0},` +
	`"policies":[{"baseRate":3.6,"cap":7.2,"guaranteed":1.8,"limitSlack":0.5,"mostAtOnce":9,"name":"p",` +
	`"price":0.8,"proportion":3.0}],"report":{"fields":["rif"],"via":"on_probe"}}`

func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, change := range []struct{ from, to string }{
		{`"siblings":3`, `"siblings":"three"`},
		{`"ask"`, `"guess"`},
		{`"deduplicated"`, `"perhaps"`},
		{`"cell"`, `"planet"`},
		{`"on_probe"`, `"by_post"`},
	} {
		if _, err := ParseSettings([]byte(strings.Replace(settingsText, change.from, change.to, 1))); err == nil {
			t.Errorf("settings with %s in place of %s: got no error, want one", change.to, change.from)
		}
	}
}
