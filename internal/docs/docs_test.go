// Package docs_test checks that links, paths and header names in the Markdown pages of this
// repository are valid.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const root = "../.."

var (
	// linkPattern finds the targets of links, except those to the web.
	linkPattern = regexp.MustCompile(`\]\(([^)\s:]+)\)`)
	// pathPattern finds the paths of files and folders of this repository in code spans.
	pathPattern = regexp.MustCompile("`((?:internal|client|cmd|docs|examples)/[\\w./-]+)`")
	// headerPattern finds the names of tealhall's own headers.
	headerPattern      = regexp.MustCompile(`Tealhall-[A-Z][A-Za-z]*(?:-[A-Z][A-Za-z]*)*`)
	headingPattern     = regexp.MustCompile(`(?m)^#+ +(.+)$`)
	punctuationPattern = regexp.MustCompile(`[^\w -]`)
)

// pages returns the text of every Markdown page by its path.
func pages(t *testing.T) map[string]string {
	t.Helper()
	found := make(map[string]string)
	err := filepath.WalkDir(root, func(name string, d fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(name) != ".md" {
			return err
		}
		text, err := os.ReadFile(name)
		found[name] = string(text)
		return err
	})
	if err != nil || len(found) == 0 {
		t.Fatalf("read %d pages, error %v", len(found), err)
	}
	return found
}

// Guards against broken links: a page is renamed or removed, but another page still links to it.
func TestLinksResolve(t *testing.T) {
	all := pages(t)
	for name, text := range all {
		for _, match := range linkPattern.FindAllStringSubmatch(text, -1) {
			file, fragment, _ := strings.Cut(match[1], "#")
			target := name
			if file != "" {
				target = filepath.Join(filepath.Dir(name), file)
			}
			if _, err := os.Stat(target); err != nil {
				t.Errorf("%s: the target of the link %s does not exist", name, match[1])
			} else if fragment != "" && !hasHeading(all[target], fragment) {
				t.Errorf("%s: the target of the link %s has no such heading", name, match[1])
			}
		}
		for _, match := range pathPattern.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join(root, match[1])); err != nil {
				t.Errorf("%s names %s, which does not exist", name, match[1])
			}
		}
	}
}

// hasHeading reports whether the text has a heading with this fragment.
func hasHeading(text, fragment string) bool {
	for _, match := range headingPattern.FindAllStringSubmatch(text, -1) {
		plain := punctuationPattern.ReplaceAllString(strings.ToLower(match[1]), "")
		if strings.ReplaceAll(plain, " ", "-") == fragment {
			return true
		}
	}
	return false
}

// Guards against a page that names a header differently from package contract. A caller that
// followed such a page sent its deadline under a name that the entry ignored without an error.
func TestPagesNameOnlyContractHeaders(t *testing.T) {
	known := contractStrings(t)
	for name, text := range pages(t) {
		for _, used := range headerPattern.FindAllString(text, -1) {
			if !known[used] {
				t.Errorf("%s names the header %s, which internal/contract does not define", name, used)
			}
		}
	}
}

// contractStrings returns the string literals of package contract.
func contractStrings(t *testing.T) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(root + "/internal/contract/*.go")
	if err != nil {
		t.Fatal(err)
	}
	texts := make(map[string]bool)
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if literal, ok := n.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				if text, err := strconv.Unquote(literal.Value); err == nil {
					texts[text] = true
				}
			}
			return true
		})
	}
	return texts
}
