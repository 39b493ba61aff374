package demo

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"amaranthstile/fleet"
	"amaranthstile/result"
)

// row is the result of one check.
type row struct {
	check    string
	measured string
	bound    string
	passed   bool
}

// report collects the results of the checks.
type report struct {
	rows []row
}

func (r *report) add(check, bound string, passed bool, format string, args ...any) {
	r.rows = append(r.rows, row{check: check, bound: bound, passed: passed, measured: fmt.Sprintf(format, args...)})
}

// passed reports whether every check passed.
func (r *report) passed() bool {
	for _, row := range r.rows {
		if !row.passed {
			return false
		}
	}
	return true
}

func (r *report) print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "check\tbound\tmeasured\tpassed")
	for _, row := range r.rows {
		verdict := "yes"
		if !row.passed {
			verdict = "NO"
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", row.check, row.bound, row.measured, verdict)
	}
	_ = t.Flush()
}

// formatOutcomes formats outcome counts as one line.
func formatOutcomes(counts fleet.OutcomeCounts) string {
	parts := []string{fmt.Sprintf("%d succeeded", counts.Succeeded)}
	if counts.Failed > 0 {
		parts = append(parts, fmt.Sprintf("%d failed at the backend server", counts.Failed))
	}
	if counts.NoResponse > 0 {
		parts = append(parts, fmt.Sprintf("%d without response", counts.NoResponse))
	}
	for _, e := range result.Table() {
		if n := counts.Codes[e.Code]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, e.Name))
		}
	}
	return strings.Join(parts, ", ")
}
