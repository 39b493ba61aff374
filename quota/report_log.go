package quota

import (
	"maps"
	"time"
)

// ReportSequence numbers the reports of one instance. Its upper bits name the stream, the calls of the instance to one
// coordinator, of which one is under way at a time. Instances of earlier versions use no streams, and never repeat a report.
type ReportSequence uint64

// numberBits is how many of the bits of a ReportSequence count the reports of the instance.
const numberBits = 40

// NewReportSequence returns the sequence number of a report; the stream is at least 1.
func NewReportSequence(stream, number uint64) ReportSequence {
	return ReportSequence(stream<<numberBits | number)
}

// Stream returns the stream, 0 if the report is of an earlier version.
func (s ReportSequence) Stream() uint64 { return uint64(s) >> numberBits }

// Number returns the number of the report among those of the instance.
func (s ReportSequence) Number() uint64 { return uint64(s) & (1<<numberBits - 1) }

// Report is one call of an instance to a coordinator. It may arrive more than once, by several paths.
type Report struct {
	Instance string
	Sequence ReportSequence
	// Acknowledged is the latest report of the stream to which a reply was applied. The instance uses nothing of the replies
	// to those between it and this report, and this one includes what they reported as spent. 0 means not known.
	Acknowledged ReportSequence
	// Late means that the instance may use what is granted up to LateGrantTTL after it sent the report.
	Late     bool
	Accounts map[string]Usage
}

// ReportLog keeps the latest report of each stream at a coordinator, so that a report counts once however often it arrives.
// It is a plain state machine and not safe for concurrent use; the zero value is empty. It is designed for one entry for
// each instance that called within reportLogSpan.
type ReportLog struct {
	latest  map[reportStream]loggedReport
	sweptAt time.Time
}

// reportStream identifies the calls of one instance to one coordinator.
type reportStream struct {
	instance string
	stream   uint64
}

// loggedReport is the latest report of a stream that was counted.
type loggedReport struct {
	sequence  ReportSequence
	countedAt time.Time
	late      bool
	spent     map[string]int // by account
	reply     map[string]BucketState
}

// returnTTL returns how long after the report its grants can go back to the bucket. Until then they count as a part of the
// burst or are few; later the bucket may have filled up without them, and all of it may have been spent.
func (r loggedReport) returnTTL() time.Duration {
	if r.late {
		return LateGrantTTL
	}
	return 2 * promptGrantTTL
}

// reportLogSpan is how long a report is kept after it was counted: many times the time of a call.
const reportLogSpan = 10 * time.Second

// Count counts a report with the spend function, and returns the reply by account. A report that was counted already gets
// the same reply. One that a later report of its stream has replaced is not counted, and gets no accounts. The function
// reports whether the account is known.
func (l *ReportLog) Count(
	now time.Time, r Report, spend func(account string, u Usage) (s BucketState, known bool),
) map[string]BucketState {
	l.sweep(now)
	key := reportStream{r.Instance, r.Sequence.Stream()}
	last, found := l.latest[key]
	if found && r.Sequence <= last.sequence {
		if r.Sequence == last.sequence {
			return maps.Clone(last.reply)
		}
		return nil
	}
	replaces := found && r.Acknowledged != 0 && r.Acknowledged < last.sequence
	next := loggedReport{
		sequence: r.Sequence, countedAt: now, late: r.Late, spent: make(map[string]int), reply: make(map[string]BucketState, len(r.Accounts)),
	}
	for account, u := range r.Accounts {
		spent := u.Spent
		u.Instance, u.Stream, u.Sequence, u.Late = r.Instance, key.stream, r.Sequence.Number(), r.Late
		if replaces {
			u.Spent = max(u.Spent-last.spent[account], 0)
			if now.Sub(last.countedAt) <= last.returnTTL() {
				u.Returned, u.GrantedAt = last.reply[account].Granted, last.countedAt
			}
		}
		if s, known := spend(account, u); known {
			next.spent[account], next.reply[account] = spent, s
		}
	}
	if key.stream == 0 {
		return next.reply
	}
	if l.latest == nil {
		l.latest = make(map[reportStream]loggedReport)
	}
	l.latest[key] = next
	return maps.Clone(next.reply)
}

// sweep drops the reports that no copy may follow any more, at most once in reportLogSpan.
func (l *ReportLog) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < reportLogSpan {
		return
	}
	l.sweptAt = now
	maps.DeleteFunc(l.latest, func(_ reportStream, r loggedReport) bool { return now.Sub(r.countedAt) >= reportLogSpan })
}
