package docs

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// externalNamesPage lists the names that leave the process, by directory or file.
const externalNamesPage = "external-names.md"

// nameTags are the keys of struct tags whose value begins with the name that an encoder or parser uses.
var nameTags = []string{"json", "toml", "mapstructure", "expr", "cbor", "name"}

// storedNameTags are those that rename a stored field: CBOR reads both.
var storedNameTags = []string{"json", "cbor"}

// kongTags are the keys of struct tags that mark a field as a command or a flag of the command line.
var kongTags = []string{"cmd", "help"}

var (
	sectionHeading = regexp.MustCompile("^## `([^`]+)`$")
	sectionKind    = regexp.MustCompile(`^(Stored fields|Tags|Strings|Keys): `)
	quotedName     = regexp.MustCompile("`([^`]+)`")
	tomlKey        = regexp.MustCompile(`(?m)^(\w+) *=`)
	wordBoundary   = regexp.MustCompile(`([a-z0-9])([A-Z])`)
)

// externalName is a name on the page, with its section and kind.
type externalName struct {
	line    int
	section string // a directory, or the deploy file
	kind    string
	name    string
}

// parseExternalNames returns the names on a page, or an error for a line that belongs to no kind of a section.
func parseExternalNames(page string) ([]externalName, error) {
	var names []externalName
	section, kind := "", ""
	for i, line := range strings.Split(page, "\n") {
		switch heading := sectionHeading.FindStringSubmatch(line); {
		case heading != nil:
			section, kind = heading[1], ""
			continue
		case section == "" || line == "":
			kind = ""
			continue
		}
		if match := sectionKind.FindStringSubmatch(line); match != nil {
			kind = match[1]
		}
		if kind == "" {
			return nil, fmt.Errorf("line %d: %q is not below a line that says which kind of names follow", i+1, line)
		}
		for _, match := range quotedName.FindAllStringSubmatch(line, -1) {
			names = append(names, externalName{line: i + 1, section: section, kind: kind, name: match[1]})
		}
	}
	return names, nil
}

// sourceNames are the names that the product code of a directory gives to the outside.
type sourceNames struct {
	fields  map[string]bool // exported fields that are stored under their Go names
	tags    map[string]bool // names in tags, commands and flags
	strings map[string]bool // string literals without their quotes
}

// has reports whether the directory has a name of a kind.
func (n *sourceNames) has(kind, name string) bool {
	switch kind {
	case "Stored fields":
		return n.tags[name] || n.fields[name]
	case "Tags":
		return n.tags[name]
	default:
		return n.strings[name]
	}
}

// addFile adds the names of a source file.
func (n *sourceNames) addFile(file string, source any) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, source, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.StructType:
			for _, field := range node.Fields.List {
				n.addField(field)
			}
		case *ast.BasicLit:
			if node.Kind == token.STRING {
				n.strings[node.Value[1:len(node.Value)-1]] = true
			}
		}
		return true
	})
	return nil
}

// addField adds the outer names of a struct's field.
func (n *sourceNames) addField(field *ast.Field) {
	var tag reflect.StructTag
	if field.Tag != nil {
		text, err := strconv.Unquote(field.Tag.Value)
		if err != nil {
			return
		}
		tag = reflect.StructTag(text)
	}
	renamed := false
	for _, key := range nameTags {
		value := tag.Get(key)
		name, _, _ := strings.Cut(value, ",")
		if name == "" || name == "-" || strings.Contains(value, "keyasint") {
			continue
		}
		n.tags[name] = true
		renamed = renamed || slices.Contains(storedNameTags, key)
	}
	if renamed {
		return
	}
	onCommandLine := slices.ContainsFunc(kongTags, func(key string) bool {
		_, found := tag.Lookup(key)
		return found
	})
	for _, name := range field.Names {
		if onCommandLine {
			n.tags[strings.ToLower(wordBoundary.ReplaceAllString(name.Name, "$1-$2"))] = true
		}
		if name.IsExported() {
			n.fields[name.Name] = true
		}
	}
}

// newSourceNames returns an empty sourceNames.
func newSourceNames() *sourceNames {
	return &sourceNames{fields: map[string]bool{}, tags: map[string]bool{}, strings: map[string]bool{}}
}

// namesOfSection returns the names in the product code of a directory, or the keys of a TOML file.
func namesOfSection(t *testing.T, section string) *sourceNames {
	t.Helper()
	names := newSourceNames()
	if path.Ext(section) == ".toml" {
		for _, match := range tomlKey.FindAllStringSubmatch(readPage(t, path.Join(root, section)), -1) {
			names.strings[match[1]] = true
		}
		return names
	}
	files, err := filepath.Glob(path.Join(root, section, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		if err := names.addFile(file, nil); err != nil {
			t.Fatal(err)
		}
	}
	return names
}

// TestExternalNames fails when a rename in the source changes a name that clients, files or operators know.
func TestExternalNames(t *testing.T) {
	page, err := os.ReadFile(externalNamesPage)
	if err != nil {
		t.Fatal(err)
	}
	names, err := parseExternalNames(string(page))
	if err != nil {
		t.Fatalf("%s: %v", externalNamesPage, err)
	}
	if len(names) == 0 {
		t.Fatalf("%s lists no name", externalNamesPage)
	}
	sections := map[string]*sourceNames{}
	for _, name := range names {
		if sections[name.section] == nil {
			sections[name.section] = namesOfSection(t, name.section)
		}
		if !sections[name.section].has(name.kind, name.name) {
			t.Errorf("%s:%d: %s has no %q among its %s",
				externalNamesPage, name.line, name.section, name.name, strings.ToLower(name.kind))
		}
	}
}

func TestMissingExternalNamesAreFound(t *testing.T) {
	source := "package one\n" +
		"type record struct {\n" +
		"\tAt     int\n" +
		"\tWeight int `json:\"Worth,omitempty\"`\n" +
		"\tMaxAge int `help:\"Age in seconds.\"`\n" +
		"\tKind   int `cbor:\"1,keyasint\"`\n" +
		"}\n" +
		"const header = \"X-Class\"\n"
	names := newSourceNames()
	if err := names.addFile("one.go", source); err != nil {
		t.Fatal(err)
	}
	page := "# Title\n\nText with `code`.\n\n## `one`\n\n" +
		"Stored fields: `At` `Worth` `Weight` `Kind`\n\n" +
		"Tags: `max-age` `Worth`\n`At`\n\n" +
		"Strings: `X-Class` `X-Plan`\n"
	listed, err := parseExternalNames(page)
	if err != nil {
		t.Fatal(err)
	}
	var missing []string
	for _, name := range listed {
		if !names.has(name.kind, name.name) {
			missing = append(missing, fmt.Sprintf("%d: %s %s", name.line, name.kind, name.name))
		}
	}
	want := []string{"7: Stored fields Weight", "10: Tags At", "12: Strings X-Plan"}
	if diff := cmp.Diff(want, missing); diff != "" {
		t.Errorf("missing names (-want +got):\n%s", diff)
	}
	if _, err := parseExternalNames("## `one`\n\n`At`\n"); err == nil {
		t.Error("a name that stands under no kind is accepted")
	}
}
