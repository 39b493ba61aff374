// Command tables generates docs/RESULT-CODES.md and docs/EVENTS.md from the tables in the source. It is run in the root
// of the repository.
package main

import (
	"fmt"
	"os"
	"strings"

	"amaranthstile/event"
	"amaranthstile/result"
)

const codesHead = `# Result codes

Every refusal and failure that leaves a process carries one of these numbers. The status is the HTTP status that
goes with it; 0 stands for codes that are never answered over HTTP. This page is written by
` + "`go run ./internal/tables`" + ` from the table in the source.

| code | name | status | meaning |
| --- | --- | --- | --- |
`

const eventsHead = `# Log events

Every log line carries one of these numbers in the field "event" and the name in "message". This page is written by
` + "`go run ./internal/tables`" + ` from the table in the source.

| event | name | level | meaning, and what to do |
| --- | --- | --- | --- |
`

func main() {
	var codes, events strings.Builder
	codes.WriteString(codesHead)
	for _, e := range result.Table() {
		fmt.Fprintf(&codes, "| %d | %s | %d | %s |\n", e.Code, e.Name, e.Status, e.Text)
	}
	events.WriteString(eventsHead)
	for _, e := range event.Table() {
		fmt.Fprintf(&events, "| %d | %s | %s | %s |\n", e.ID, e.Name, e.Level, e.Text)
	}
	write("docs/RESULT-CODES.md", codes.String())
	write("docs/EVENTS.md", events.String())
}

func write(name, text string) {
	if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, "tables:", err)
		os.Exit(1)
	}
}
