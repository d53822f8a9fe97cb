package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
)

// skippedDirectories holds the names of directories without source code of the product.
var skippedDirectories = []string{".git", "journal", "testdata", "tools"}

// check walks the source tree below root and returns a line for each missing doc comment: first for exported names,
// ordered by file and position, then for packages, ordered by directory.
func check(root string) ([]string, error) {
	checker := &checker{root: root, fileSet: token.NewFileSet(), packages: map[string]bool{}}
	if err := filepath.WalkDir(root, checker.visit); err != nil {
		return nil, err
	}
	return append(checker.findings, checker.undocumentedPackages()...), nil
}

// checker collects the packages and exported names that lack a doc comment.
type checker struct {
	root     string
	fileSet  *token.FileSet
	findings []string
	packages map[string]bool // by directory: whether any of its files documents the package
}

// visit is an fs.WalkDirFunc that checks each Go file other than tests.
func (c *checker) visit(path string, entry fs.DirEntry, err error) error {
	if err != nil {
		return err
	}
	if entry.IsDir() {
		if slices.Contains(skippedDirectories, entry.Name()) {
			return filepath.SkipDir
		}
		return nil
	}
	if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
		return nil
	}
	file, err := parser.ParseFile(c.fileSet, path, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	directory := filepath.Dir(path)
	c.packages[directory] = c.packages[directory] || file.Doc != nil
	for _, declaration := range file.Decls {
		c.checkDeclaration(declaration)
	}
	return nil
}

func (c *checker) checkDeclaration(declaration ast.Decl) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		if declaration.Doc == nil && isExported(declaration) {
			c.report(declaration.Name)
		}
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			c.checkSpec(spec, declaration.Doc != nil)
		}
	}
}

// checkSpec checks a type, constant or variable, each of which may share the comment of its group. A comment behind a
// constant or variable documents it too.
func (c *checker) checkSpec(spec ast.Spec, groupDocumented bool) {
	switch spec := spec.(type) {
	case *ast.TypeSpec:
		if spec.Doc == nil && !groupDocumented && spec.Name.IsExported() {
			c.report(spec.Name)
		}
	case *ast.ValueSpec:
		if spec.Doc != nil || spec.Comment != nil || groupDocumented {
			return
		}
		for _, name := range spec.Names {
			if name.IsExported() {
				c.report(name)
			}
		}
	}
}

func (c *checker) report(name *ast.Ident) {
	position := c.fileSet.Position(name.Pos())
	finding := fmt.Sprintf("%s:%d: %s has no doc comment", c.relative(position.Filename), position.Line, name.Name)
	c.findings = append(c.findings, finding)
}

// undocumentedPackages returns a finding for each package without a doc comment.
func (c *checker) undocumentedPackages() []string {
	var findings []string
	for directory, documented := range c.packages {
		if !documented {
			findings = append(findings, c.relative(directory)+": the package has no doc comment")
		}
	}
	slices.Sort(findings)
	return findings
}

// relative returns a path relative to the root.
func (c *checker) relative(path string) string {
	relative, err := filepath.Rel(c.root, path)
	if err != nil {
		return path
	}
	return relative
}

// isExported reports whether a function, or a method of an exported type, can be used by other packages.
func isExported(function *ast.FuncDecl) bool {
	if !function.Name.IsExported() {
		return false
	}
	if function.Recv == nil {
		return true
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	name, ok := receiver.(*ast.Ident)
	return ok && name.IsExported()
}
