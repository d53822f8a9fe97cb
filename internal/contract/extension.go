package contract

import (
	"bytes"
	"cmp"
	_ "embed" // for Schema
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// extensionKey is the key of the extension in an operation, a path or a channel.
const extensionKey = "x-contract"

// Schema is the JSON Schema of the extension x-contract.
//
//go:embed x-contract.schema.json
var Schema []byte

// extensionSchema returns Schema, compiled at the first call. It panics on an error, because the schema is part of the
// program.
var extensionSchema = sync.OnceValue(func() *jsonschema.Schema {
	const name = "x-contract.json"
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, document); err != nil {
		panic(err)
	}
	return compiler.MustCompile(name)
})

// extension is the decoded content of x-contract, once it is valid by the schema.
type extension struct {
	Idempotency      string            `mapstructure:"repeats"`
	Key              *extensionDedup   `mapstructure:"key"`
	Class            string            `mapstructure:"class"`
	LatencyObjective time.Duration     `mapstructure:"aim"`
	Deadline         time.Duration     `mapstructure:"deadline"`
	PriorityWeight   float64           `mapstructure:"worth"`
	ExpectedDuration time.Duration     `mapstructure:"takes"`
	Units            float64           `mapstructure:"units"`
	UnitBytes        int               `mapstructure:"unit_bytes"`
	StableFor        time.Duration     `mapstructure:"same_for"`
	Volume           Location          `mapstructure:"volume"`
	Data             Location          `mapstructure:"data"`
	Shard            any               `mapstructure:"shard"`
	When             extensionWhen     `mapstructure:"when"`
	Statuses         map[string]string `mapstructure:"statuses"`
}

// extensionDedup specifies the key of calls and how nodes discard retries by it.
type extensionDedup struct {
	Location `mapstructure:",squash"`
	Window   time.Duration `mapstructure:"for"`
	Scope    string        `mapstructure:"group"`
	Header   string        `mapstructure:"told"`
}

// extensionWhen holds the required values of query parameters and headers, by name.
type extensionWhen struct {
	Query  map[string]string `mapstructure:"query"`
	Header map[string]string `mapstructure:"header"`
}

// applyExtension validates the content of x-contract and stores it in the operation. If it has faults, the operation
// does not change.
func (o *Operation) applyExtension(content any) Faults {
	value, err := toJSONValue(content)
	if err == nil {
		err = extensionSchema().Validate(value)
	}
	var invalid *jsonschema.ValidationError
	if errors.As(err, &invalid) {
		return o.validationFaults(invalid)
	}
	if err != nil {
		return Faults{o.extensionFault("", err.Error())}
	}
	decoded, err := decodeExtension(value)
	if err != nil { // for example a number that overflows
		return Faults{o.extensionFault("", err.Error())}
	}
	decoded.applyTo(o)
	return nil
}

// toJSONValue converts a value to the types that the JSON decoder of the schema library returns, because a YAML decoder
// returns others as well.
func toJSONValue(content any) (any, error) {
	text, err := json.Marshal(content)
	if err != nil {
		return nil, err
	}
	return jsonschema.UnmarshalJSON(bytes.NewReader(text))
}

func decodeExtension(value any) (*extension, error) {
	decoded := &extension{}
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:           decoded,
		DecodeHook:       mapstructure.StringToTimeDurationHookFunc(),
		WeaklyTypedInput: true,
	})
	if err != nil {
		return nil, err
	}
	return decoded, decoder.Decode(value)
}

// extensionFault returns a fault at a JSON pointer within the extension.
func (o *Operation) extensionFault(pointer, message string) Fault {
	position := o.Position
	position.Pointer += "/" + extensionKey + pointer
	return Fault{Position: position, Message: message}
}

var english = message.NewPrinter(language.English)

// validationFaults returns a fault for each leaf of the tree of validation errors. The inner errors only lead to the
// leaves.
func (o *Operation) validationFaults(invalid *jsonschema.ValidationError) Faults {
	if len(invalid.Causes) == 0 {
		pointer := ""
		for _, part := range invalid.InstanceLocation {
			pointer += "/" + escapePointer(part)
		}
		return Faults{o.extensionFault(pointer, invalid.ErrorKind.LocalizedString(english))}
	}
	var faults Faults
	for _, cause := range invalid.Causes {
		faults = append(faults, o.validationFaults(cause)...)
	}
	return faults
}

// applyTo stores the extension in an operation.
func (e *extension) applyTo(o *Operation) {
	if e.Idempotency != "" {
		o.Idempotency = Idempotency(e.Idempotency)
	}
	if e.Key != nil {
		o.Key = e.Key.Location
		o.DedupWindow = e.Key.Window
		o.DedupScope = cmp.Or(DedupScope(e.Key.Scope), ScopeShard)
		o.DedupHeader = http.CanonicalHeaderKey(e.Key.Header)
	}
	o.Class = e.Class
	o.LatencyObjective = e.LatencyObjective
	o.Deadline = e.Deadline
	o.PriorityWeight = e.PriorityWeight
	o.ExpectedDuration = e.ExpectedDuration
	o.Units = e.Units
	o.UnitBytes = e.UnitBytes
	o.StableFor = e.StableFor
	o.Volume = e.Volume
	o.Data = e.Data
	o.When = append(o.When, e.When.conditions()...)
	o.Shard = e.shard()
	for status, meaning := range e.Statuses {
		if o.Statuses == nil {
			o.Statuses = map[string]StatusMeaning{}
		}
		o.Statuses[status] = StatusMeaning(meaning)
	}
}

// conditions returns the conditions sorted by location.
func (w *extensionWhen) conditions() []Condition {
	var conditions []Condition
	for name, want := range w.Query {
		conditions = append(conditions, Condition{Location{inQuery, name}, want})
	}
	for name, want := range w.Header {
		conditions = append(conditions, Condition{Location{inHeader, http.CanonicalHeaderKey(name)}, want})
	}
	slices.SortFunc(conditions, func(a, b Condition) int {
		return cmp.Or(cmp.Compare(a.In, b.In), cmp.Compare(a.Name, b.Name))
	})
	return conditions
}

// shard returns the decoded shard: "any", a location or a number.
func (e *extension) shard() Shard {
	var shard Shard
	switch value := e.Shard.(type) {
	case string:
		shard.Any = true
	case map[string]any: // The schema has validated its content.
		shard.Location.In, _ = value["in"].(string)
		shard.Location.Name, _ = value["name"].(string)
	case json.Number:
		shard.Number, _ = strconv.Atoi(value.String())
		shard.Fixed = true
	}
	return shard
}
