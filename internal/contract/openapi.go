package contract

import (
	"maps"
	"mime"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
)

// MostFile bounds a description, in bytes.
const MostFile = 32 << 20

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
		return nil, Faults{{SourcePosition{File: strings.Join(paths, ", ")}, "no operation is described"}}
	}
	return all, nil
}

func load(path string) ([]*Operation, Faults) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, Faults{{SourcePosition{File: path}, err.Error()}}
	}
	if info.Size() > MostFile {
		return nil, Faults{{SourcePosition{File: path}, "it is longer than 32 MiB"}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{SourcePosition{File: path}, err.Error()}}
	}
	return Parse(path, text)
}

// Parse reads one description; the path only names it.
func Parse(path string, text []byte) (all []*Operation, faults Faults) {
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
		return nil, Faults{{SourcePosition{File: path}, err.Error()}}
	}
	paths := doc.Paths.Map()
	for _, template := range slices.Sorted(maps.Keys(paths)) {
		item := paths[template]
		operations := item.Operations()
		for _, method := range slices.Sorted(maps.Keys(operations)) {
			for _, s := range serversOf(doc, item, operations[method]) {
				o, wrong := operation(path, template, method, !strings.HasPrefix(doc.OpenAPI, "3.0"), item, operations[method])
				o.Host, o.Template = s.host, s.base+o.Template
				all, faults = append(all, o), append(faults, wrong...)
			}
		}
	}
	return all, faults
}

// server is where an operation is to be found.
type server struct{ host, base string }

// serversOf gives them (OpenAPI 3.1, section 4.8.5): the operation's, its path's or the document's. An address on this machine, a relative one and
// one with variables name no host.
func serversOf(doc *openapi3.T, item *openapi3.PathItem, op *openapi3.Operation) (all []server) {
	listed := doc.Servers
	if len(item.Servers) > 0 {
		listed = item.Servers
	}
	if op.Servers != nil && len(*op.Servers) > 0 {
		listed = *op.Servers
	}
	for _, one := range listed {
		s := server{}
		if u, err := url.Parse(one.URL); err == nil && !strings.ContainsAny(one.URL, "{}") {
			s.base = strings.TrimRight(u.EscapedPath(), "/")
			if host := u.Hostname(); host != "localhost" && !strings.HasPrefix(host, "127.") {
				s.host = strings.ToLower(u.Host)
			}
		}
		if !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	if len(all) == 0 {
		all = []server{{}}
	}
	return all
}

func operation(file, template, method string, later bool, item *openapi3.PathItem, from *openapi3.Operation) (*Operation, Faults) {
	o := &Operation{ID: from.OperationID, Method: method, Template: template, Idempotency: NonIdempotent, Body: from.RequestBody != nil,
		Position: SourcePosition{File: file, Pointer: "/paths/" + escape(template) + "/" + strings.ToLower(method)}}
	if from.Origin != nil && from.Origin.Key != nil {
		o.Position.Line = from.Origin.Key.Line
	}
	if from.RequestBody != nil && from.RequestBody.Value != nil {
		o.Types = slices.Sorted(maps.Keys(from.RequestBody.Value.Content))
	}
	if from.Responses != nil {
		o.Creates = from.Responses.Value("201") != nil
		o.Responses = map[string]*Response{}
		for status, answer := range from.Responses.Map() {
			r := &Response{Types: map[string]*openapi3.Schema{}, Later: later}
			if answer.Value != nil {
				for media, content := range answer.Value.Content {
					r.Types[mediaType(media)] = nil
					if content.Schema != nil {
						r.Types[mediaType(media)] = content.Schema.Value
					}
				}
			}
			o.Responses[strings.ToUpper(status)] = r
			if status == "default" {
				o.Responses[status] = r
			}
		}
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

// mediaType gives a type without its parameters, in lower case (RFC 9110, section 8.3.1).
func mediaType(text string) string {
	if kind, _, err := mime.ParseMediaType(text); err == nil {
		return kind
	}
	return strings.ToLower(strings.TrimSpace(text))
}
