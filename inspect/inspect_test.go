package inspect

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// day writes lines of a day; each has its place in seconds.
type day struct{ strings.Builder }

func (d *day) line(second float64, instance string, event int, fields string) {
	at := time.Unix(1000, 0).UTC().Add(time.Duration(second * float64(time.Second))).Format("2006-01-02T15:04:05.000Z")
	_, _ = fmt.Fprintf(d, "  %.3f %s {\"time\":%q,\"instance\":%q,\"event\":%d,%s}\n", second, instance, at, instance, event, fields)
}

// grayDay is a day on which the backend server b1 turns gray at second 2 and is well again at 5, and b2 spoils one answer.
func grayDay() *day {
	d := &day{}
	d.WriteString("not a line of an instance\n{\"neither\":1}\n")
	d.line(1, "a", 4003, `"request":"r1","account":"x","backend":"b1","status":200`)
	d.line(2, "e", 5106, `"backend":"b1","outcome":"aborted","rest_ms":700`)
	d.line(2.001, "a", 4001, `"request":"r2","account":"x","code":5009,"run":"may-have-run","tries":"b2:5008:1 b1:5009:4"`)
	d.line(2.8, "e", 5106, `"backend":"b1","outcome":"aborted","rest_ms":1120`)
	d.line(2.81, "a", 4003, `"request":"r3","account":"y","backend":"b2","status":200,"tries":"b1:5009:4 b2:200:90"`)
	d.line(2.9, "a", 4003, `"request":"r3.c1","account":"","backend":"b2","status":200`)
	d.line(5, "a", 4003, `"request":"r4","account":"y","backend":"b1","status":200`)
	d.line(6, "a", 4001, `"request":"r5","account":"y","code":4004,"run":"not-run"`)
	d.line(6.5, "f", 5106, `"backend":"b2","outcome":"truncated","rest_ms":700`)
	d.line(6.6, "a", 4001, `"request":"r6","account":"x","code":5003,"run":"ran","tries":"b2:5003:40"`)
	d.line(8, "a", 4003, `"request":"r7","account":"y","backend":"b2","status":200`)
	d.line(8.1, "a", 3001, `"store":"away"`)
	return d
}

func read(t *testing.T, d *day) []Line {
	t.Helper()
	lines, skipped, err := Read(strings.NewReader(d.String()))
	if err != nil || skipped != 2 {
		t.Fatal(skipped, err)
	}
	return lines
}

func TestFiguresOfAGrayDay(t *testing.T) {
	is := is.New(t)
	f := Summarize(read(t, grayDay()))
	is.Equal([]int{f.Requests, f.Served, f.Refused, f.Failed}, []int{7, 4, 1, 2})
	is.Equal(f.DetectionTimes, []time.Duration{0, 0})
	is.Equal(f.FailedByBackend, 2)
	is.Equal(f.GoodAttempts, 5)
	is.Equal(f.UnconfirmedCooldowns, 1) // b2 answered well right after its rest
	is.Equal(*f.Accounts["x"], AccountSummary{Requests: 3, Served: 1})
	is.Equal(*f.Accounts["y"], AccountSummary{Requests: 4, Served: 3, RateExceeded: 1})
	worst, name, _ := f.worstServed()
	is.Equal(name, "x")
	is.Equal(worst, 1.0/3)
	var out bytes.Buffer
	is.NoErr(f.Write(&out))
	is.True(strings.Contains(out.String(), "| requests with a key; served, refused, failed | 7; 4, 1, 2 |"))
}

// TestErrorsTakeTheSecondToDetect counts from the first of two errors.
func TestErrorsTakeTheSecondToDetect(t *testing.T) {
	is := is.New(t)
	d := &day{}
	d.line(1, "a", 4003, `"request":"r1","account":"x","backend":"b1","status":500`)
	d.line(1.4, "e", 5106, `"backend":"b1","outcome":"error","rest_ms":700`)
	lines, _, err := Read(strings.NewReader(d.String()))
	is.NoErr(err)
	is.Equal(Summarize(lines).DetectionTimes, []time.Duration{400 * time.Millisecond})
}

// TestExplainGathersWhatBelongsToARequest finds the calls, the rests of the backend servers that were tried, and what the instance noted.
func TestExplainGathersWhatBelongsToARequest(t *testing.T) {
	is := is.New(t)
	lines := read(t, grayDay())
	var out bytes.Buffer
	found, err := Explain(&out, lines, "r3")
	is.NoErr(err)
	is.True(found)
	text := out.String()
	for _, want := range []string{`"r3"`, `"r3.c1"`, `"rest_ms":1120`} {
		is.True(strings.Contains(text, want))
	}
	for _, other := range []string{`"r4"`, `"r2"`, `"store"`} { // other requests, and what is too far away
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
