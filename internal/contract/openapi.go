package contract

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/go-viper/mapstructure/v2"
)

// extension is the key of the vocabulary at an operation or a path.
const extension = "x-contract"

// vocabulary is what may be said there. The operation's goes before the path's, as a whole.
type vocabulary struct {
	Repeats  string `mapstructure:"repeats"`
	Key      keyed  `mapstructure:"key"`
	Aim      string `mapstructure:"aim"`
	Deadline string `mapstructure:"deadline"`
}

type keyed struct {
	In   string `mapstructure:"in"`
	Name string `mapstructure:"name"`
	For  string `mapstructure:"for"`
}

// Load reads OpenAPI and AsyncAPI descriptions, JSON or YAML. All that is wrong comes as Faults at once.
func Load(paths ...string) ([]*Operation, error) {
	var all []*Operation
	var faults Faults
	for _, path := range paths {
		one, wrong := load(path)
		all, faults = append(all, one...), append(faults, wrong...)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	if len(all) == 0 {
		return nil, Faults{{Place{File: strings.Join(paths, ", ")}, "no operation is described"}}
	}
	return all, nil
}

func load(path string) (all []*Operation, faults Faults) {
	fail := func(err error) (any, Faults) { return nil, Faults{{Place{File: path}, err.Error()}} }
	text, err := os.ReadFile(path)
	if err != nil {
		_, faults = fail(err)
		return nil, faults
	}
	if root, ok := asyncRoot(text); ok {
		return loadAsync(path, root)
	}
	loader := openapi3.NewLoader()
	loader.IncludeOrigin = true
	doc, err := loader.LoadFromData(text)
	if err == nil {
		err = doc.Validate(loader.Context)
	}
	if err != nil {
		_, faults = fail(err)
		return nil, faults
	}
	paths := doc.Paths.Map()
	for _, template := range slices.Sorted(maps.Keys(paths)) {
		item := paths[template]
		operations := item.Operations()
		for _, method := range slices.Sorted(maps.Keys(operations)) {
			o, wrong := operation(path, template, method, item, operations[method])
			all, faults = append(all, o), append(faults, wrong...)
		}
	}
	return all, faults
}

func operation(file, template, method string, item *openapi3.PathItem, from *openapi3.Operation) (*Operation, Faults) {
	o := &Operation{ID: from.OperationID, Method: method, Template: template, Repeats: Unsafe, Body: from.RequestBody != nil,
		Place: Place{File: file, Pointer: "/paths/" + escape(template) + "/" + strings.ToLower(method)}}
	if from.Origin != nil && from.Origin.Key != nil {
		o.Place.Line = from.Origin.Key.Line
	}
	if from.Responses != nil {
		o.Creates = from.Responses.Value("201") != nil
	}
	said, ok := from.Extensions[extension]
	if !ok {
		said, ok = item.Extensions[extension]
	}
	if !ok {
		return o, nil
	}
	return o, o.say(said)
}

// say takes what the vocabulary says of an operation.
func (o *Operation) say(said any) Faults {
	var faults Faults
	fault := func(format string, args ...any) {
		place := o.Place
		place.Pointer += "/" + extension
		faults = append(faults, Fault{place, fmt.Sprintf(format, args...)})
	}
	var v vocabulary
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{ErrorUnused: true, Result: &v})
	if err == nil {
		err = decoder.Decode(said)
	}
	if err != nil {
		fault("%v", err)
		return faults
	}
	switch o.Repeats = Repeats(v.Repeats); o.Repeats {
	case Safe, Keyed, Unsafe:
	case "":
		o.Repeats = Unsafe
	default:
		fault("repeats: %q is not safe, keyed or unsafe", v.Repeats)
	}
	span := func(key, text string) time.Duration {
		if text == "" {
			return 0
		}
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			fault("%s: %q is not a duration above 0s", key, text)
		}
		return d
	}
	o.Aim, o.Deadline, o.KeyFor = span("aim", v.Aim), span("deadline", v.Deadline), span("key.for", v.Key.For)
	o.KeyIn, o.KeyName = v.Key.In, v.Key.Name
	if v.Key != (keyed{}) {
		if !slices.Contains([]string{"header", "query", "path"}, v.Key.In) {
			fault("key.in: %q is not header, query or path", v.Key.In)
		}
		if o.Repeats != Keyed {
			fault("key: only what is keyed has one")
		}
	}
	return faults
}
