// Package apitest checks that the gateway's handlers and parsers conform to the API descriptions under api/.
package apitest

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"go.yaml.in/yaml/v4"
)

// resourceName is the name under which the description is added to the schema compiler.
const resourceName = "api.json"

// Schemas reads the API description at a path and returns a function that compiles the schema with a given name in it.
func Schemas(t *testing.T, path string) func(name string) *jsonschema.Schema {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var description any
	if err := yaml.Unmarshal(text, &description); err != nil {
		t.Fatal(err)
	}
	asJSON, err := json.Marshal(description)
	if err != nil {
		t.Fatal(err)
	}
	resource, err := jsonschema.UnmarshalJSON(bytes.NewReader(asJSON))
	if err != nil {
		t.Fatal(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(resourceName, resource); err != nil {
		t.Fatal(err)
	}
	return func(name string) *jsonschema.Schema {
		t.Helper()
		schema, err := compiler.Compile(resourceName + "#/components/schemas/" + name)
		if err != nil {
			t.Fatal(err)
		}
		return schema
	}
}
