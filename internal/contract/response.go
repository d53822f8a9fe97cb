package contract

import (
	"encoding/json"
	"fmt"
	"mime"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
)

// defaultResponse is the key of the response that describes all statuses without a description of their own.
const defaultResponse = "default"

// Response is the description of the response with one status.
type Response struct {
	Types          map[string]*openapi3.Schema // by media type; nil schema: any body; empty map: no body is described
	JSONSchema2020 bool                        // the schemas follow JSON Schema 2020-12, as in OpenAPI 3.1
}

// DropSchemas drops the schemas of all responses to save memory: they take most of the memory of a large description.
func DropSchemas(operations []*Operation) {
	for _, operation := range operations {
		for _, response := range operation.Responses {
			for media := range response.Types {
				response.Types[media] = nil
			}
		}
	}
}

// Type finds the schema for the value of a Content-Type. An exact media type precedes a range such as text/*, and that
// precedes */*.
func (r *Response) Type(contentType string) (schema *openapi3.Schema, described bool) {
	media := mediaType(contentType)
	topLevel, _, _ := strings.Cut(media, "/")
	for _, pattern := range [...]string{media, topLevel + "/*", "*/*"} {
		if schema, described = r.Types[pattern]; described {
			return schema, true
		}
	}
	return nil, false
}

// Check validates a body against the schema of its media type. It returns nil if the media type has no schema or is not
// JSON.
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

// mediaType returns the media type of a Content-Type without parameters, in lower case (RFC 9110, section 8.3.1).
func mediaType(contentType string) string {
	if media, _, err := mime.ParseMediaType(contentType); err == nil {
		return media
	}
	return strings.ToLower(strings.TrimSpace(contentType))
}
