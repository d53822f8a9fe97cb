package contract

import (
	"maps"
	"net/url"
	"slices"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
)

// openAPIReader reads one OpenAPI document.
type openAPIReader struct {
	file     string
	document *openapi3.T
}

func parseOpenAPI(file string, text []byte) ([]*Operation, Faults) {
	loader := openapi3.NewLoader()
	loader.IncludeOrigin = true
	document, err := loader.LoadFromData(text)
	if err == nil {
		err = document.Validate(loader.Context)
	}
	if err != nil {
		return nil, fileFault(file, err.Error())
	}
	reader := openAPIReader{file: file, document: document}
	return reader.operations()
}

// operations returns the operations sorted by path and method. An operation with several servers is returned once for
// each of them.
func (r *openAPIReader) operations() ([]*Operation, Faults) {
	var all []*Operation
	var faults Faults
	paths := r.document.Paths.Map()
	for _, template := range slices.Sorted(maps.Keys(paths)) {
		item := paths[template]
		described := item.Operations()
		for _, method := range slices.Sorted(maps.Keys(described)) {
			for _, server := range serversOf(r.document, item, described[method]) {
				operation, operationFaults := r.operation(template, method, item, described[method])
				operation.Host = server.host
				operation.Template = server.basePath + operation.Template
				all = append(all, operation)
				faults = append(faults, operationFaults...)
			}
		}
	}
	return all, faults
}

// server is the address of an operation. An empty host means any.
type server struct{ host, basePath string }

// serversOf returns the servers of an operation: its own or, if it has none, those of its path or of the document
// (OpenAPI 3.1, section 4.8.5).
func serversOf(document *openapi3.T, item *openapi3.PathItem, operation *openapi3.Operation) []server {
	listed := document.Servers
	if len(item.Servers) > 0 {
		listed = item.Servers
	}
	if operation.Servers != nil && len(*operation.Servers) > 0 {
		listed = *operation.Servers
	}
	var all []server
	for _, entry := range listed {
		if s := parseServer(entry.URL); !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	if len(all) == 0 {
		return []server{{}}
	}
	return all
}

// parseServer parses the URL of a server. The host is empty for a relative URL, for localhost and for 127.0.0.0/8. A
// URL that has variables or can't be parsed gives neither a host nor a base path.
func parseServer(serverURL string) server {
	u, err := url.Parse(serverURL)
	if err != nil || strings.ContainsAny(serverURL, "{}") {
		return server{}
	}
	s := server{basePath: strings.TrimRight(u.EscapedPath(), "/")}
	if host := u.Hostname(); host != "localhost" && !strings.HasPrefix(host, "127.") {
		s.host = strings.ToLower(u.Host)
	}
	return s
}

func (r *openAPIReader) operation(
	template, method string, item *openapi3.PathItem, from *openapi3.Operation,
) (*Operation, Faults) {
	operation := &Operation{
		ID:          from.OperationID,
		Method:      method,
		Template:    template,
		Idempotency: NonIdempotent,
		HasBody:     from.RequestBody != nil,
		Position: SourcePosition{
			File:    r.file,
			Pointer: "/paths/" + escapePointer(template) + "/" + strings.ToLower(method),
		},
	}
	if from.Origin != nil && from.Origin.Key != nil {
		operation.Position.Line = from.Origin.Key.Line
	}
	if from.RequestBody != nil && from.RequestBody.Value != nil {
		operation.RequestTypes = slices.Sorted(maps.Keys(from.RequestBody.Value.Content))
	}
	if from.Responses != nil {
		operation.Creates = from.Responses.Value("201") != nil
		operation.Responses = r.responses(from.Responses)
	}
	content, ok := from.Extensions[extensionKey]
	if !ok {
		content, ok = item.Extensions[extensionKey]
	}
	if !ok {
		return operation, nil
	}
	return operation, operation.applyExtension(content)
}

// responses returns the described responses by status or range of statuses.
func (r *openAPIReader) responses(from *openapi3.Responses) map[string]*Response {
	responses := map[string]*Response{}
	for status, described := range from.Map() {
		response := &Response{
			Types:          map[string]*openapi3.Schema{},
			JSONSchema2020: !strings.HasPrefix(r.document.OpenAPI, "3.0"),
		}
		if described.Value != nil {
			for media, content := range described.Value.Content {
				response.Types[mediaType(media)] = nil
				if content.Schema != nil {
					response.Types[mediaType(media)] = content.Schema.Value
				}
			}
		}
		if status != defaultResponse {
			status = strings.ToUpper(status) // Accept ranges such as 4XX in lower case as well.
		}
		responses[status] = response
	}
	return responses
}
