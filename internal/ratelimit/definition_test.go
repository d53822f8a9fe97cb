package ratelimit

import (
	"strings"
	"testing"
)

func TestCheckNamesFaults(t *testing.T) {
	valid := Definition{Name: "a", Rate: 1, Burst: 1, Keys: MinKeys}
	with := func(change func(*Definition)) []Definition {
		faulty := valid
		change(&faulty)
		return []Definition{faulty}
	}
	for _, test := range []struct {
		want        string // prefix of the error
		definitions []Definition
	}{
		{`limit "a": the name is missing or taken`, []Definition{valid, valid}},
		{`limit "a": rate: -1 is not`, with(func(d *Definition) { d.Rate = -1 })},
		{`limit "a": burst: 0.5 is not`, with(func(d *Definition) { d.Burst = 0.5 })},
		{`limit "a": open: -1 is not`, with(func(d *Definition) { d.Open = -1 })},
		{`limit "a": it bounds neither`, with(func(d *Definition) { d.Rate = 0 })},
		{`limit "a": keys: 5 is not`, with(func(d *Definition) { d.Keys = 5 })},
		{`limit "a": parent: there is no limit "b"`, with(func(d *Definition) { d.Parent = "b" })},
		{`limit "a": parent: it has itself above it, or more`, with(func(d *Definition) { d.Parent = "a" })},
	} {
		t.Run(test.want, func(t *testing.T) {
			if _, err := New(test.definitions); err == nil || !strings.HasPrefix(err.Error(), test.want) {
				t.Errorf("%v, want %s", err, test.want)
			}
		})
	}
}
