package codecheck

import (
	"go/ast"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// pages are the documents that describe the code. Each name of the code that they have in backquotes must exist.
var pages = []string{"docs/GLOSSARY.md", "docs/ARCHITECTURE.md"}

// reference matches how the pages name code: with the path of a package's directory or a file from the root. A name in a
// package follows after a dot, and the name of a type's member after another dot, as in `internal/core.Core.Do`.
var reference = regexp.MustCompile("`((?:internal|policy|wire|cmd|deploy|lab|mibs)(?:/[A-Za-z0-9_./-]+)?(?:\\.[A-Za-z_][A-Za-z0-9_.]*)?)`")

// packageNames is the set of names that a package declares: "Core" for a name at the top level, "Core.Do" for a method, a field
// or a method of an interface.
type packageNames map[string]bool

func TestPagesNameOnlyWhatExists(t *testing.T) {
	packages := declaredNames(t)
	for _, page := range pages {
		content, err := os.ReadFile(filepath.Join(root, page))
		require.NoError(t, err)
		references := reference.FindAllStringSubmatch(string(content), -1)
		require.NotEmpty(t, references, page)
		for _, match := range references {
			if !referenceExists(packages, match[1]) {
				t.Errorf("%s names `%s`, which does not exist", page, match[1])
			}
		}
	}
}

// Each row of the glossary's tables has at least one reference to the code.
func TestEachRowOfTheGlossaryNamesAPlace(t *testing.T) {
	content, err := os.ReadFile(filepath.Join(root, "docs/GLOSSARY.md"))
	require.NoError(t, err)
	rows := 0
	for _, line := range strings.Split(string(content), "\n") {
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| ---") || strings.HasPrefix(line, "| our word") {
			continue
		}
		rows++
		if !reference.MatchString(line) {
			t.Errorf("row of the glossary without a reference to the code: %s", line)
		}
	}
	require.NotZero(t, rows)
}

// referenceExists reports whether a reference names a file, a directory, or a name that a package declares.
func referenceExists(packages map[string]packageNames, reference string) bool {
	if _, err := os.Stat(filepath.Join(root, filepath.FromSlash(reference))); err == nil {
		return true
	}
	base := path.Base(reference)
	dot := strings.IndexByte(base, '.')
	if dot < 0 {
		return false
	}
	directory := path.Join(path.Dir(reference), base[:dot])
	return packages[directory][base[dot+1:]]
}

func declaredNames(t *testing.T) map[string]packageNames {
	packages := map[string]packageNames{}
	for _, file := range sourceFiles(t, token.NewFileSet()) {
		directory := path.Dir(file.path)
		if packages[directory] == nil {
			packages[directory] = packageNames{}
		}
		for _, declaration := range file.syntax.Decls {
			packages[directory].add(declaration)
		}
	}
	return packages
}

func (names packageNames) add(declaration ast.Decl) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		name := declaration.Name.Name
		if declaration.Recv != nil {
			name = receiverName(declaration) + "." + name
		}
		names[name] = true
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			names.addSpec(spec)
		}
	}
}

func (names packageNames) addSpec(spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			names[name.Name] = true
		}
	case *ast.TypeSpec:
		names[spec.Name.Name] = true
		switch definition := spec.Type.(type) {
		case *ast.StructType:
			names.addMembers(spec.Name.Name, definition.Fields)
		case *ast.InterfaceType:
			names.addMembers(spec.Name.Name, definition.Methods)
		}
	}
}

func (names packageNames) addMembers(typeName string, members *ast.FieldList) {
	for _, member := range members.List {
		for _, name := range member.Names {
			names[typeName+"."+name.Name] = true
		}
	}
}
