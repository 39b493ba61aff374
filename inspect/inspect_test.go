package inspect

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// logBuilder writes log lines whose times are given in seconds.
type logBuilder struct{ strings.Builder }

func (b *logBuilder) line(second float64, instance string, event int, fields string) {
	at := time.Unix(1000, 0).UTC().Add(time.Duration(second * float64(time.Second))).Format("2006-01-02T15:04:05.000Z")
	_, _ = fmt.Fprintf(b, "  %.3f %s {\"time\":%q,\"instance\":%q,\"event\":%d,%s}\n", second, instance, at, instance, event, fields)
}

// grayFailureLog is a log in which the backend server b1 fails from second 2 until it recovers at second 5, and b2
// fails one answer.
func grayFailureLog() *logBuilder {
	b := &logBuilder{}
	b.WriteString("not a line of an instance\n{\"neither\":1}\n")
	b.line(1, "a", 4003, `"request":"r1","account":"x","backend":"b1","status":200`)
	b.line(2, "e", 5106, `"backend":"b1","outcome":"aborted","rest_ms":700`)
	b.line(2.001, "a", 4001, `"request":"r2","account":"x","code":5009,"run":"may-have-run","tries":"b2:5008:1 b1:5009:4"`)
	b.line(2.8, "e", 5106, `"backend":"b1","outcome":"aborted","rest_ms":1120`)
	b.line(2.81, "a", 4003, `"request":"r3","account":"y","backend":"b2","status":200,"tries":"b1:5009:4 b2:200:90"`)
	b.line(2.9, "a", 4003, `"request":"r3.c1","account":"","backend":"b2","status":200`)
	b.line(5, "a", 4003, `"request":"r4","account":"y","backend":"b1","status":200`)
	b.line(6, "a", 4001, `"request":"r5","account":"y","code":4004,"run":"not-run"`)
	b.line(6.5, "f", 5106, `"backend":"b2","outcome":"truncated","rest_ms":700`)
	b.line(6.6, "a", 4001, `"request":"r6","account":"x","code":5003,"run":"ran","tries":"b2:5003:40"`)
	b.line(8, "a", 4003, `"request":"r7","account":"y","backend":"b2","status":200`)
	b.line(8.1, "a", 3001, `"store":"away"`)
	return b
}

func read(t *testing.T, b *logBuilder) []Line {
	t.Helper()
	lines, skipped, err := Read(strings.NewReader(b.String()))
	if err != nil || skipped != 2 {
		t.Fatal(skipped, err)
	}
	return lines
}

func TestSummaryOfGrayFailures(t *testing.T) {
	is := is.New(t)
	summary := Summarize(read(t, grayFailureLog()))
	is.Equal([]int{summary.Requests, summary.Served, summary.Refused, summary.Failed}, []int{7, 4, 1, 2})
	is.Equal(summary.DetectionTimes, []time.Duration{0, 0})
	is.Equal(summary.FailedByBackend, 2)
	is.Equal(summary.GoodAttempts, 5)
	is.Equal(summary.UnconfirmedCooldowns, 1) // b2 answered successfully right after its cooldown
	is.Equal(*summary.Accounts["x"], AccountSummary{Requests: 3, Served: 1})
	is.Equal(*summary.Accounts["y"], AccountSummary{Requests: 4, Served: 3, RateExceeded: 1})
	worst, name, _ := summary.worstServed()
	is.Equal(name, "x")
	is.Equal(worst, 1.0/3)
	var out bytes.Buffer
	is.NoErr(summary.Write(&out))
	is.True(strings.Contains(out.String(), "| requests with a key; served, refused, failed | 7; 4, 1, 2 |"))
}

// TestDetectionTimeStartsAtFirstOfTwoErrors checks that the detection time counts from the first of two errors.
func TestDetectionTimeStartsAtFirstOfTwoErrors(t *testing.T) {
	is := is.New(t)
	b := &logBuilder{}
	b.line(1, "a", 4003, `"request":"r1","account":"x","backend":"b1","status":500`)
	b.line(1.4, "e", 5106, `"backend":"b1","outcome":"error","rest_ms":700`)
	lines, _, err := Read(strings.NewReader(b.String()))
	is.NoErr(err)
	is.Equal(Summarize(lines).DetectionTimes, []time.Duration{400 * time.Millisecond})
}

// TestExplainIncludesContextOfRequest checks that the explanation includes the calls, the cooldowns of the backend
// servers that were attempted, and the events of the instance.
func TestExplainIncludesContextOfRequest(t *testing.T) {
	is := is.New(t)
	lines := read(t, grayFailureLog())
	var out bytes.Buffer
	found, err := Explain(&out, lines, "r3")
	is.NoErr(err)
	is.True(found)
	text := out.String()
	for _, want := range []string{`"r3"`, `"r3.c1"`, `"rest_ms":1120`} {
		is.True(strings.Contains(text, want))
	}
	for _, other := range []string{`"r4"`, `"r2"`, `"store"`} { // other requests, and lines outside the window
		is.True(!strings.Contains(text, other))
	}
	out.Reset()
	_, err = Explain(&out, lines, "r7")
	is.NoErr(err)
	is.True(strings.Contains(out.String(), `"store":"away"`))
	found, err = Explain(&out, lines, "absent")
	is.NoErr(err)
	is.True(!found)
}
