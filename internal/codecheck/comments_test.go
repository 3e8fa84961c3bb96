// Package codecheck has tests of the source tree itself: every package and every exported name has a doc comment, and the
// pages that describe the code name only what exists. It has no code other than tests.
package codecheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// root is the path of the repository's root from this package.
const root = "../.."

// undocumentedMethods are names of methods that need no doc comment, since they implement an interface of the standard library
// that defines what they do.
var undocumentedMethods = map[string]bool{
	"String": true, "Error": true, "Unwrap": true, "Is": true,
	"Len": true, "Less": true, "Swap": true, "Push": true, "Pop": true,
}

// sourceFile is one Go file of the tree that is not a test.
type sourceFile struct {
	path   string // from the root, with slashes
	syntax *ast.File
}

// sourceFiles parses all Go files of the tree, except tests and nested modules.
func sourceFiles(t *testing.T, fileSet *token.FileSet) []sourceFile {
	t.Helper()
	var files []sourceFile
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := entry.Name()
		if entry.IsDir() {
			if path != root && (strings.HasPrefix(name, ".") || name == "testdata" || name == "tools" || name == "bin") {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		syntax, err := parser.ParseFile(fileSet, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		files = append(files, sourceFile{filepath.ToSlash(relative), syntax})
		return nil
	})
	require.NoError(t, err)
	require.NotEmpty(t, files)
	return files
}

func TestEachPackageHasOneDocComment(t *testing.T) {
	comments := map[string]int{}
	for _, file := range sourceFiles(t, token.NewFileSet()) {
		directory := filepath.Dir(file.path)
		comments[directory] += 0 // so that a package without a comment has an entry, too
		if file.syntax.Doc != nil {
			comments[directory]++
		}
	}
	for directory, count := range comments {
		if count != 1 {
			t.Errorf("package %s: want one package comment, found %d", directory, count)
		}
	}
}

func TestEachExportedNameHasADocComment(t *testing.T) {
	fileSet := token.NewFileSet()
	for _, file := range sourceFiles(t, fileSet) {
		for _, declaration := range file.syntax.Decls {
			for _, name := range undocumented(declaration) {
				t.Errorf("%s: exported %s has no doc comment", fileSet.Position(name.Pos()), name.Name)
			}
		}
	}
}

// The check for doc comments finds all exported names in a sample that have none. In the sample, Documented has a comment, and
// String needs none.
func TestUndocumentedNamesAreFound(t *testing.T) {
	const source = `package sample

type Type struct{}

func Function() {}

func (Type) Method() {}

func (Type) String() string { return "" }

func (hidden) Method() {}

type hidden struct{}

const Constant = 1

// Documented has a comment.
var Documented = 1
`
	syntax, err := parser.ParseFile(token.NewFileSet(), "sample.go", source, parser.ParseComments)
	require.NoError(t, err)
	var names []string
	for _, declaration := range syntax.Decls {
		for _, name := range undocumented(declaration) {
			names = append(names, name.Name)
		}
	}
	require.Equal(t, []string{"Type", "Function", "Method", "Constant"}, names)
}

// undocumented returns the exported names of a top-level declaration that have no doc comment. The comment of a group of
// types, constants or variables counts for each of them.
func undocumented(declaration ast.Decl) []*ast.Ident {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		if declaration.Doc == nil && declaration.Name.IsExported() && !exempt(declaration) {
			return []*ast.Ident{declaration.Name}
		}
	case *ast.GenDecl:
		return undocumentedSpecs(declaration)
	}
	return nil
}

func undocumentedSpecs(declaration *ast.GenDecl) []*ast.Ident {
	var names []*ast.Ident
	for _, spec := range declaration.Specs {
		switch spec := spec.(type) {
		case *ast.TypeSpec:
			if spec.Name.IsExported() && spec.Doc == nil && declaration.Doc == nil {
				names = append(names, spec.Name)
			}
		case *ast.ValueSpec:
			if spec.Doc != nil || spec.Comment != nil || declaration.Doc != nil {
				continue
			}
			for _, name := range spec.Names {
				if name.IsExported() {
					names = append(names, name)
				}
			}
		}
	}
	return names
}

// exempt reports whether a function needs no doc comment, because it is a method of an unexported type or is in
// undocumentedMethods.
func exempt(function *ast.FuncDecl) bool {
	if function.Recv == nil {
		return false
	}
	return undocumentedMethods[function.Name.Name] || !ast.IsExported(receiverName(function))
}

func receiverName(function *ast.FuncDecl) string {
	expression := function.Recv.List[0].Type
	if pointer, ok := expression.(*ast.StarExpr); ok {
		expression = pointer.X
	}
	switch expression := expression.(type) {
	case *ast.Ident:
		return expression.Name
	case *ast.IndexExpr:
		return expression.X.(*ast.Ident).Name
	case *ast.IndexListExpr:
		return expression.X.(*ast.Ident).Name
	}
	return ""
}
