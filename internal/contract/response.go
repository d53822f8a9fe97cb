package contract

import (
	"encoding/json"
	"fmt"
	"mime"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
)

// defaultResponse is the key of the response to all statuses that are not described themselves.
const defaultResponse = "default"

// Response is the described response with a status.
type Response struct {
	Types          map[string]*openapi3.Schema // by media type; a nil schema allows all; no types: there is no body
	JSONSchema2020 bool                        // the schemas are those of OpenAPI 3.1
}

// DropSchemas drops the schemas of all responses, which take most of the memory of a large description.
func DropSchemas(operations []*Operation) {
	for _, operation := range operations {
		for _, response := range operation.Responses {
			for media := range response.Types {
				response.Types[media] = nil
			}
		}
	}
}

// Type finds the schema of a media type, given as in a Content-Type: described exactly, by its kind, or as any type.
func (r *Response) Type(text string) (schema *openapi3.Schema, described bool) {
	media := mediaType(text)
	kind, _, _ := strings.Cut(media, "/")
	for _, pattern := range [...]string{media, kind + "/*", "*/*"} {
		if schema, described = r.Types[pattern]; described {
			return schema, true
		}
	}
	return nil, false
}

// Check validates a body against the schema of its media type. It returns nil if there is no schema or if the media
// type is not JSON.
func (r *Response) Check(contentType string, body []byte) error {
	schema, _ := r.Type(contentType)
	if schema == nil || !isJSON(mediaType(contentType)) {
		return nil
	}
	var value any
	if err := json.Unmarshal(body, &value); err != nil {
		return fmt.Errorf("no JSON: %w", err)
	}
	version := openapi3.DisableSchemaErrorDetails()
	if r.JSONSchema2020 {
		version = openapi3.EnableJSONSchema2020()
	}
	return schema.VisitJSON(value, openapi3.VisitAsResponse(), openapi3.FailFast(), version)
}

func isJSON(media string) bool {
	return media == "application/json" || strings.HasSuffix(media, "+json")
}

// mediaType returns a media type without its parameters, in lower case (RFC 9110, section 8.3.1).
func mediaType(text string) string {
	if media, _, err := mime.ParseMediaType(text); err == nil {
		return media
	}
	return strings.ToLower(strings.TrimSpace(text))
}
