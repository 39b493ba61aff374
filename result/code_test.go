package result_test

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"amaranthstile/result"
)

// codesInSource returns the number of constants of type Code that code.go declares.
func codesInSource(t *testing.T) int {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "code.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	ast.Inspect(f, func(node ast.Node) bool {
		if v, ok := node.(*ast.ValueSpec); ok {
			if id, ok := v.Type.(*ast.Ident); ok && id.Name == "Code" {
				n += len(v.Names)
			}
		}
		return true
	})
	return n
}

func TestTableContainsEveryCodeOnce(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	last := result.Code(-1)
	for _, e := range result.Table() {
		is.True(e.Code > last)      // ascending order, so no code occurs twice
		is.True(!seen[e.Name])      // each name occurs once
		is.True(e.Text != "")       // each code has a text
		is.Equal(e.Code.Entry(), e) // found by its number
		seen[e.Name] = true
		last = e.Code
	}
	is.Equal(len(result.Table()), codesInSource(t))
}

func TestDocumentationListsEveryCode(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../docs/RESULT-CODES.md")
	is.NoErr(err)
	rows := 0
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| code") && !strings.HasPrefix(line, "| --") {
			rows++
		}
	}
	is.Equal(rows, len(result.Table())) // every row belongs to a code
	for _, e := range result.Table() {
		row := fmt.Sprintf("| %d | %s | %d | %s |", e.Code, e.Name, e.Status, e.Text)
		if !strings.Contains(string(data), row+"\n") {
			t.Errorf("docs/RESULT-CODES.md lacks the row %s", row)
		}
	}
}

func TestErrorCarriesCodeAndRunStatus(t *testing.T) {
	is := is.New(t)
	cause := errors.New("cause")
	err := result.WithRun(result.Wrap(result.LinkBroken, cause, "link"), result.NotRun)
	is.Equal(result.CodeOf(err), result.LinkBroken)
	is.Equal(result.RunOf(err), result.NotRun)
	is.True(errors.Is(err, cause))
	is.Equal(result.RunOf(result.New(result.RateExceeded, "x")), result.MayHaveRun) // the default is never NotRun
	is.Equal(result.CodeOf(cause), result.Internal)
}
