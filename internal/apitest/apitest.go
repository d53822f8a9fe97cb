// Package apitest holds the handlers to the descriptions under api/.
package apitest

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"go.yaml.in/yaml/v4"
)

// Schemas gives the schemas of a description by name.
func Schemas(t *testing.T, path string) func(name string) *jsonschema.Schema {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var doc any
	if err := yaml.Unmarshal(text, &doc); err != nil {
		t.Fatal(err)
	}
	asJSON, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	compiler := jsonschema.NewCompiler()
	if doc, err = jsonschema.UnmarshalJSON(bytes.NewReader(asJSON)); err == nil {
		err = compiler.AddResource("api.json", doc)
	}
	if err != nil {
		t.Fatal(err)
	}
	return func(name string) *jsonschema.Schema {
		s, err := compiler.Compile("api.json#/components/schemas/" + name)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
}
