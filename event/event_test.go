package event_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"amaranthstile/event"
)

func TestDocumentationListsEveryEvent(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../docs/EVENTS.md")
	is.NoErr(err)
	is.Equal(strings.Count(string(data), "\n| ")-2, len(event.Table())) // the table head has two lines
	for _, e := range event.Table() {
		row := fmt.Sprintf("| %d | %s | %s | %s |", e.ID, e.Name, e.Level, e.Text)
		if !strings.Contains(string(data), row+"\n") {
			t.Errorf("docs/EVENTS.md lacks the row %s", row)
		}
	}
}

func TestTableContainsEveryEventOnce(t *testing.T) {
	is := is.New(t)
	f, err := parser.ParseFile(token.NewFileSet(), "event.go", nil, 0)
	is.NoErr(err)
	n := 0
	ast.Inspect(f, func(node ast.Node) bool {
		if v, ok := node.(*ast.ValueSpec); ok {
			if id, ok := v.Type.(*ast.Ident); ok && id.Name == "ID" {
				n += len(v.Names)
			}
		}
		return true
	})
	is.Equal(len(event.Table()), n)
	last := event.ID(0)
	for _, e := range event.Table() {
		is.True(e.ID > last)
		last = e.ID
	}
}

func TestLogWritesNumberNameAndFields(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	event.New(&out, "norte-1", "info").Log(event.BackendLapsed, event.F("backend", "b1"))
	var line map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line["event"], float64(event.BackendLapsed))
	is.Equal(line["message"], "backend-lapsed")
	is.Equal(line["backend"], "b1")
	is.Equal(line["instance"], "norte-1")
}
