package ratelimit

import (
	"strings"
	"testing"
)

func TestCheckNamesInvalidFields(t *testing.T) {
	valid := Definition{Name: "a", Rate: 1, Burst: 1, Keys: MinKeys}
	with := func(change func(*Definition)) []Definition {
		invalid := valid
		change(&invalid)
		return []Definition{invalid}
	}
	for _, test := range []struct {
		want        string // prefix of the error
		definitions []Definition
	}{
		{`limit "a": name: it is empty or already taken`, []Definition{valid, valid}},
		{`limit "a": rate: -1 is not`, with(func(d *Definition) { d.Rate = -1 })},
		{`limit "a": burst: 0.5 is not`, with(func(d *Definition) { d.Burst = 0.5 })},
		{`limit "a": open: -1 is not`, with(func(d *Definition) { d.Concurrency = -1 })},
		{`limit "a": it limits neither`, with(func(d *Definition) { d.Rate = 0 })},
		{`limit "a": keys: 5 is not`, with(func(d *Definition) { d.Keys = 5 })},
		{`limit "a": parent: there is no limit "b"`, with(func(d *Definition) { d.Parent = "b" })},
		{`limit "a": parent: the chain of parents has a cycle or more`, with(func(d *Definition) { d.Parent = "a" })},
	} {
		t.Run(test.want, func(t *testing.T) {
			if _, err := New(test.definitions); err == nil || !strings.HasPrefix(err.Error(), test.want) {
				t.Errorf("error %v, want one that begins with %q", err, test.want)
			}
		})
	}
}
