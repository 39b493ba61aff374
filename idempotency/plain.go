package idempotency

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"amaranthstile/result"
	"amaranthstile/store"
)

// plainObjectPrefix is the prefix of the names of the objects that hold plain keys.
const plainObjectPrefix = "once/key/"

// IsPlain reports whether a key is plain: a client chose it without a prefix, so it names no replicas. A plain key is
// claimed by one conditional write to the platform's object store. While the platform is unavailable, requests with
// plain keys are not run.
func IsPlain(key string) bool { return !strings.HasPrefix(key, version+fieldSeparator) }

// CheckPlain returns an error for a malformed plain key; the error carries IdempotencyKeyForm.
func CheckPlain(key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return result.New(result.IdempotencyKeyForm, "an Idempotency-Key must have 1 to %d bytes", MaxKeyBytes)
	}
	return nil
}

// plainState is the state of a plain key in the object store.
type plainState string

const (
	plainClaimed    plainState = "claimed"
	plainMayHaveRun plainState = "lost"
	plainRan        plainState = "ran"
)

// plainClaim is the content of the object of a plain key.
type plainClaim struct {
	// AttemptID identifies the attempt that has the key; it is unique.
	AttemptID string     `json:"try"`
	Digest    string     `json:"digest"`
	Period    uint64     `json:"period"`
	State     plainState `json:"state"`
	Record    *Record    `json:"record,omitempty"`
}

// plainObjectName returns the name of the object that holds the key of a request.
func plainObjectName(r Request) string {
	sum := sha256.Sum256([]byte(r.Account + "\x00" + r.Key))
	return plainObjectPrefix + hex.EncodeToString(sum[:])
}

// plainAttempt claims one plain key for one attempt.
//
// The attempt runs only after its claim is confirmed: the write succeeded, or a read shows the attempt's ID. An attempt
// creates the object and never replaces that of another attempt, so no two attempts are ever confirmed. If an attempt
// ends without a settlement, its claim remains, and later attempts are refused because the request may have run.
type plainAttempt struct {
	client  store.Client
	request Request
	object  string
	claim   plainClaim
	version store.Version
}

// begin claims the key, or returns the outcome of the attempt that has it.
func (p *plainAttempt) begin(ctx context.Context) (*Record, error) {
	backoff := initialBackoff
	for time.Now().Before(p.request.Deadline) && ctx.Err() == nil {
		if p.create(ctx) {
			return nil, nil
		}
		decided, record, err := p.check(ctx)
		if decided {
			return record, err
		}
		sleep(ctx, min(backoff, time.Until(p.request.Deadline)))
		backoff = min(2*backoff, maxBackoff)
	}
	return nil, unknownError(result.MayHaveRun, "the key could not be claimed in time")
}

// create creates the object and reports whether the claim is confirmed.
func (p *plainAttempt) create(ctx context.Context) bool {
	v, err := p.client.Put(ctx, p.object, 0, encodeClaim(p.claim))
	p.version = v
	return err == nil
}

// check reads the object. It reports whether the attempt is decided, either because its own claim is confirmed or
// because another attempt has ended.
func (p *plainAttempt) check(ctx context.Context) (bool, *Record, error) {
	o, err := p.client.Get(ctx, p.object)
	if err != nil {
		return false, nil, nil
	}
	var c plainClaim
	if err := json.Unmarshal(o.Value, &c); err != nil {
		return true, nil, unknownError(result.MayHaveRun, "the key's stored claim can't be parsed")
	}
	if c.AttemptID == p.claim.AttemptID {
		p.version = o.Version
		return true, nil, nil
	}
	return p.checkOther(c)
}

// checkOther decides the attempt by the claim of another attempt. Nothing is decided while that one is in flight.
func (p *plainAttempt) checkOther(c plainClaim) (bool, *Record, error) {
	switch {
	case c.Digest != p.claim.Digest && c.State == plainRan:
		return true, nil, mismatchError(result.NotRun)
	case c.Digest != p.claim.Digest:
		return true, nil, mismatchError(result.MayHaveRun)
	case c.State == plainRan && c.Record != nil:
		return true, c.Record, nil
	case c.State == plainRan:
		return true, nil, unknownError(result.Ran, "an earlier attempt ran; its response was not kept")
	case c.State == plainMayHaveRun:
		return true, nil, unknownError(result.MayHaveRun, "an earlier attempt may have run")
	}
	return false, nil, nil
}

// settle records the outcome of the attempt. If the write fails, the claim remains, which means that the request may
// have run.
func (p *plainAttempt) settle(ctx context.Context, o Outcome, record *Record) {
	if o == Released {
		_ = p.client.Delete(ctx, p.object, p.version)
		return
	}
	p.claim.State = plainMayHaveRun
	if o == Ran {
		p.claim.State, p.claim.Record = plainRan, record
	}
	_, _ = p.client.Put(ctx, p.object, p.version, encodeClaim(p.claim))
}

func encodeClaim(c plainClaim) []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // all field types can be encoded as JSON
	}
	return data
}
