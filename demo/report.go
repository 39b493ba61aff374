package demo

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"amaranthstile/fleet"
	"amaranthstile/result"
)

// row is one measured or checked thing.
type row struct {
	what  string
	seen  string
	bound string
	held  bool
}

// report gathers rows.
type report struct {
	rows []row
}

func (r *report) add(what, bound string, held bool, format string, args ...any) {
	r.rows = append(r.rows, row{what: what, bound: bound, held: held, seen: fmt.Sprintf(format, args...)})
}

// held reports whether every row held.
func (r *report) held() bool {
	for _, x := range r.rows {
		if !x.held {
			return false
		}
	}
	return true
}

func (r *report) print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "promise\tbound\tseen\theld")
	for _, x := range r.rows {
		verdict := "yes"
		if !x.held {
			verdict = "NO"
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", x.what, x.bound, x.seen, verdict)
	}
	_ = t.Flush()
}

// list prints a tally on one line.
func list(t fleet.OutcomeCounts) string {
	parts := []string{fmt.Sprintf("%d answered", t.Succeeded)}
	if t.Failed > 0 {
		parts = append(parts, fmt.Sprintf("%d failed at the backend server", t.Failed))
	}
	if t.NoResponse > 0 {
		parts = append(parts, fmt.Sprintf("%d cut", t.NoResponse))
	}
	for _, e := range result.Table() {
		if n := t.Codes[e.Code]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, e.Name))
		}
	}
	return strings.Join(parts, ", ")
}
