package contract

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// extension is the key of the vocabulary at an operation or a path.
const extension = "x-contract"

// Schema is the JSON Schema of the vocabulary.
//
//go:embed x-contract.schema.json
var Schema []byte

// compiled is made at the first description that uses the vocabulary.
var compiled = sync.OnceValue(func() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		panic(err) // it is a part of the program
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("x-contract.json", doc); err != nil {
		panic(err)
	}
	return c.MustCompile("x-contract.json")
})

// vocabulary is what the schema allows.
type vocabulary struct {
	Repeats   string            `mapstructure:"repeats"`
	Key       *keyed            `mapstructure:"key"`
	Class     string            `mapstructure:"class"`
	Aim       time.Duration     `mapstructure:"aim"`
	Deadline  time.Duration     `mapstructure:"deadline"`
	Worth     float64           `mapstructure:"worth"`
	Takes     time.Duration     `mapstructure:"takes"`
	Units     float64           `mapstructure:"units"`
	UnitBytes int               `mapstructure:"unit_bytes"`
	SameFor   time.Duration     `mapstructure:"same_for"`
	Volume    Location          `mapstructure:"volume"`
	Data      Location          `mapstructure:"data"`
	Shard     any               `mapstructure:"shard"`
	When      conditions        `mapstructure:"when"`
	Statuses  map[string]string `mapstructure:"statuses"`
}

type keyed struct {
	Location `mapstructure:",squash"`
	For      time.Duration `mapstructure:"for"`
	Group    string        `mapstructure:"group"`
	Told     string        `mapstructure:"told"`
}

type conditions struct {
	Query  map[string]string `mapstructure:"query"`
	Header map[string]string `mapstructure:"header"`
}

// say takes what the vocabulary says of an operation.
func (o *Operation) say(said any) (faults Faults) {
	fault := func(pointer, format string, args ...any) {
		place := o.Position
		place.Pointer += "/" + extension + pointer
		faults = append(faults, Fault{place, fmt.Sprintf(format, args...)})
	}
	plain, err := asJSON(said)
	if err == nil {
		err = compiled().Validate(plain)
	}
	var wrong *jsonschema.ValidationError
	switch {
	case errors.As(err, &wrong):
		leaves(wrong, func(e *jsonschema.ValidationError) {
			pointer := ""
			for _, part := range e.InstanceLocation {
				pointer += "/" + escape(part)
			}
			fault(pointer, "%s", e.ErrorKind.LocalizedString(english))
		})
		return faults
	case err != nil:
		fault("", "%v", err)
		return faults
	}
	var v vocabulary
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{Result: &v, DecodeHook: mapstructure.StringToTimeDurationHookFunc(), WeaklyTypedInput: true})
	if err == nil {
		err = decoder.Decode(plain)
	}
	if err != nil { // a figure beyond what a number holds
		fault("", "%v", err)
		return faults
	}
	o.take(&v)
	return faults
}

var english = message.NewPrinter(language.English)

// leaves calls do with what is really wrong: the other errors only lead there.
func leaves(e *jsonschema.ValidationError, do func(*jsonschema.ValidationError)) {
	if len(e.Causes) == 0 {
		do(e)
	}
	for _, cause := range e.Causes {
		leaves(cause, do)
	}
}

// asJSON gives a value as JSON has it: a reader of YAML knows more types.
func asJSON(said any) (any, error) {
	text, err := json.Marshal(said)
	if err != nil {
		return nil, err
	}
	return jsonschema.UnmarshalJSON(bytes.NewReader(text))
}

// take puts what was said into the operation.
func (o *Operation) take(v *vocabulary) {
	if v.Repeats != "" {
		o.Idempotency = Idempotency(v.Repeats)
	}
	if v.Key != nil {
		o.Key, o.DedupWindow, o.DedupHeader = v.Key.Location, v.Key.For, http.CanonicalHeaderKey(v.Key.Told)
		if o.DedupScope = DedupScope(v.Key.Group); o.DedupScope == "" {
			o.DedupScope = ScopeShard
		}
	}
	o.Class, o.LatencyObjective, o.Deadline, o.PriorityWeight, o.ExpectedDuration = v.Class, v.Aim, v.Deadline, v.Worth, v.Takes
	o.Units, o.UnitBytes, o.StableFor, o.Volume, o.Data = v.Units, v.UnitBytes, v.SameFor, v.Volume, v.Data
	for name, want := range v.When.Query {
		o.When = append(o.When, Condition{Location{"query", name}, want})
	}
	for name, want := range v.When.Header {
		o.When = append(o.When, Condition{Location{"header", http.CanonicalHeaderKey(name)}, want})
	}
	slices.SortFunc(o.When, func(a, b Condition) int {
		return strings.Compare(a.In+"\x00"+a.Name, b.In+"\x00"+b.Name)
	})
	switch shard := v.Shard.(type) {
	case string:
		o.Shard.Any = true
	case map[string]any: // the schema has seen to what is in it
		o.Shard.Location.In, _ = shard["in"].(string)
		o.Shard.Location.Name, _ = shard["name"].(string)
	case json.Number:
		number, _ := strconv.Atoi(shard.String())
		o.Shard.Number, o.Shard.Fixed = number, true
	}
	for status, meaning := range v.Statuses {
		if o.Statuses == nil {
			o.Statuses = map[string]Meaning{}
		}
		o.Statuses[status] = Meaning(meaning)
	}
}
