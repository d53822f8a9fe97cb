package docs

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// historyPages describe the past and keep the names of their time.
var historyPages = []string{"ROADMAP.md"}

// docPage is a documentation page.
type docPage struct {
	file string // relative to the module's root
	text string
}

// readPages returns README.md and all pages under docs except historyPages.
func readPages(t *testing.T) []docPage {
	t.Helper()
	pages := []docPage{{file: "README.md", text: readPage(t, path.Join(root, "README.md"))}}
	for _, pattern := range []string{"*.md", "design/*.md"} {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			t.Fatalf("no pages match %s: %v", pattern, err)
		}
		for _, file := range files {
			if !slices.Contains(historyPages, file) {
				pages = append(pages, docPage{file: path.Join("docs", filepath.ToSlash(file)), text: readPage(t, file)})
			}
		}
	}
	return pages
}

// mention is a name, a path or a command on a page.
type mention struct {
	line int
	text string
}

// find returns what a pattern matches in a text: all of the match, or its only group.
func find(pattern *regexp.Regexp, text string) []mention {
	var found []mention
	for _, match := range pattern.FindAllStringSubmatchIndex(text, -1) {
		start, end := match[len(match)-2], match[len(match)-1]
		found = append(found, mention{
			line: 1 + strings.Count(text[:start], "\n"),
			text: text[start:end],
		})
	}
	return found
}

var (
	testName = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z]\w*`)
	docsPath = regexp.MustCompile(`\bdocs/[\w/\-]+\.md\b`)

	// Commands stand between backquotes, where a line may end within them, or in indented lines.
	spanCommand = regexp.MustCompile("`(go test [^`]*)`")
	lineCommand = regexp.MustCompile(`(?m)^    .*\b(go test .*)$`)

	// modulePath matches paths of the module's packages and files, with or without "./" before and "/..." after them.
	modulePath = regexp.MustCompile(`(?:^|[\s(\x60]|\./)` +
		`((?:internal|cmd|scheduler)/(?:[\w./\-]*(?:\w|/\.\.\.)|\.\.\.)|scheduler\b)`)
)

// matches reports whether a package has this path, or is at or below it if the path ends in "/...".
func matches(directory, modulePath string) bool {
	prefix, wildcard := strings.CutSuffix(modulePath, "...")
	return directory == modulePath || wildcard && strings.HasPrefix(directory+"/", prefix)
}

// readSources calls use with every Go file of the module, tests included.
func readSources(t *testing.T, use func(file, text string)) {
	t.Helper()
	err := filepath.WalkDir(root, func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if slices.Contains([]string{".git", "journal", "testdata", "tools"}, entry.Name()) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(file, ".go") {
			return nil
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, file)
		if err != nil {
			return err
		}
		use(filepath.ToSlash(relative), string(text))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// readTests returns the directories that declare each test, benchmark and fuzz target of the module.
func readTests(t *testing.T) map[string][]string {
	t.Helper()
	tests := map[string][]string{}
	readSources(t, func(file, text string) {
		if !strings.HasSuffix(file, "_test.go") {
			return
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, text, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range parsed.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if ok && function.Recv == nil && testName.FindString(function.Name.Name) == function.Name.Name {
				tests[function.Name.Name] = append(tests[function.Name.Name], path.Dir(file))
			}
		}
	})
	return tests
}

// unknownTests returns what is wrong with the tests that a page names: they must be declared, and those of a go test
// command in the command's packages.
func unknownTests(page string, tests map[string][]string) []string {
	var wrong []string
	for _, test := range find(testName, page) {
		if len(tests[test.text]) == 0 {
			wrong = append(wrong, fmt.Sprintf("%d: no test file declares %s", test.line, test.text))
		}
	}
	for _, command := range slices.Concat(find(spanCommand, page), find(lineCommand, page)) {
		for _, test := range find(testName, command.text) {
			for _, named := range find(modulePath, command.text) {
				elsewhere := !slices.ContainsFunc(tests[test.text], func(directory string) bool {
					return matches(directory, named.text)
				})
				if declared := tests[test.text]; len(declared) > 0 && elsewhere {
					wrong = append(wrong, fmt.Sprintf("%d: %s is declared in %s, not in %s",
						command.line, test.text, strings.Join(declared, ", "), named.text))
				}
			}
		}
	}
	return wrong
}

func TestPagesNameTestsThatExist(t *testing.T) {
	tests := readTests(t)
	for _, page := range readPages(t) {
		for _, wrong := range unknownTests(page.text, tests) {
			t.Errorf("%s:%s", page.file, wrong)
		}
	}
}

func TestUnknownTestsAreFound(t *testing.T) {
	tests := map[string][]string{
		"TestOne":      {"internal/one"},
		"BenchmarkTwo": {"internal/two"},
		"FuzzBoth":     {"internal/one", "internal/two"},
	}
	page := "`TestOne` and `FuzzBoth`, but not `TestThree` or Testing.\n" +
		"| row | `go test -run 'TestOne|FuzzFour' ./internal/one`, `-bench BenchmarkFive` |\n" +
		"Over two lines: `go test -bench\nBenchmarkTwo ./internal/one`; `go test -run FuzzBoth ./internal/two`.\n\n" +
		"    go test -bench BenchmarkTwo ./internal/...\n" +
		"    go test -bench BenchmarkTwo ./cmd/...\n"
	want := []string{
		"1: no test file declares TestThree",
		"2: no test file declares FuzzFour",
		"2: no test file declares BenchmarkFive",
		"3: BenchmarkTwo is declared in internal/two, not in internal/one",
		"7: BenchmarkTwo is declared in internal/two, not in cmd/...",
	}
	if diff := cmp.Diff(want, unknownTests(page, tests)); diff != "" {
		t.Error(diff)
	}
}

// missingPaths returns the paths on a page that are neither a file nor the directory of a package.
func missingPaths(page string, directories []string, isFile func(file string) bool) []string {
	var missing []string
	for _, named := range find(modulePath, page) {
		isPackage := func(directory string) bool { return matches(directory, named.text) }
		if !isFile(named.text) && !slices.ContainsFunc(directories, isPackage) {
			missing = append(missing, fmt.Sprintf("%d: %s is no package or file", named.line, named.text))
		}
	}
	return missing
}

func TestPagesNamePackagesThatExist(t *testing.T) {
	directories := slices.Collect(maps.Keys(readPackages(t)))
	isFile := func(file string) bool {
		info, err := os.Stat(path.Join(root, file))
		return err == nil && info.Mode().IsRegular()
	}
	for _, page := range readPages(t) {
		for _, missing := range missingPaths(page.text, directories, isFile) {
			t.Errorf("%s:%s", page.file, missing)
		}
	}
}

func TestMissingPathsAreFound(t *testing.T) {
	directories := []string{"internal/one", "internal/one/two", "cmd/program", "scheduler"}
	isFile := func(file string) bool { return file == "internal/one/file.go" }
	page := "`internal/one`, internal/one/two (internal/one/file.go). `internal/three`; `go run ./cmd/program`,\n" +
		"`go test -bench X ./cmd/other`, `scheduler/gone.go` and https://example.org/internal/elsewhere.\n" +
		"`go vet ./cmd/... ./internal/one/... ./internal/four/...`, `internal`, scheduler.\n"
	want := []string{
		"1: internal/three is no package or file",
		"2: cmd/other is no package or file",
		"2: scheduler/gone.go is no package or file",
		"3: internal/four/... is no package or file",
	}
	if diff := cmp.Diff(want, missingPaths(page, directories, isFile)); diff != "" {
		t.Error(diff)
	}
}

func TestNamedPagesExist(t *testing.T) {
	texts := map[string]string{}
	for _, page := range readPages(t) {
		texts[page.file] = page.text
	}
	readSources(t, func(file, text string) { texts[file] = text })
	for _, file := range slices.Sorted(maps.Keys(texts)) {
		for _, named := range find(docsPath, texts[file]) {
			if _, err := os.Stat(path.Join(root, named.text)); err != nil {
				t.Errorf("%s:%d: %s does not exist", file, named.line, named.text)
			}
		}
	}
}
