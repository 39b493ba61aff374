package once

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

// plainPrefix precedes the names of the objects that hold plain keys.
const plainPrefix = "once/key/"

// IsPlain reports whether a key names no homes: a caller made it up. Such a key is claimed in the platform, by one
// conditional write; with the platform away it is not run.
func IsPlain(key string) bool { return !strings.HasPrefix(key, version+fieldMark) }

// CheckPlain refuses plain keys that can't be used; the error carries IdempotencyKeyForm.
func CheckPlain(key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return result.New(result.IdempotencyKeyForm, "an Idempotency-Key has 1 to %d bytes", MaxKeyBytes)
	}
	return nil
}

// plainState is what the platform holds of a plain key.
type plainState string

const (
	plainClaimed plainState = "claimed"
	plainLost    plainState = "lost"
	plainRan     plainState = "ran"
)

// plainClaim is the object of a plain key.
type plainClaim struct {
	// Try names the try that has the key; no two tries have the same name.
	Try    string     `json:"try"`
	Digest string     `json:"digest"`
	Period uint64     `json:"period"`
	State  plainState `json:"state"`
	Record *Record    `json:"record,omitempty"`
}

// plainName is the name of the object of a key.
func plainName(r Request) string {
	sum := sha256.Sum256([]byte(r.Account + "\x00" + r.Key))
	return plainPrefix + hex.EncodeToString(sum[:])
}

// plainTry claims one plain key for one try.
//
// The try runs only once it knows that its own claim stands: the write said so, or a read shows its name. Objects are
// created and never replaced by another try, so no two tries ever know that. A claim whose try was lost stays, and
// later tries are told that the request may have run.
type plainTry struct {
	client  store.Client
	request Request
	name    string
	claim   plainClaim
	at      store.Version
}

// begin claims the key, or finds out what another try did with it.
func (p *plainTry) begin(ctx context.Context) (*Record, error) {
	wait := firstWait
	for time.Now().Before(p.request.Deadline) && ctx.Err() == nil {
		if p.write(ctx) {
			return nil, nil
		}
		settled, record, err := p.look(ctx)
		if settled {
			return record, err
		}
		pause(ctx, min(wait, time.Until(p.request.Deadline)))
		wait = min(2*wait, maxWait)
	}
	return nil, unknown(result.MayHaveRun, "the key could not be claimed in time")
}

// write creates the object and reports whether the claim certainly stands.
func (p *plainTry) write(ctx context.Context) bool {
	v, err := p.client.Put(ctx, p.name, 0, encodeClaim(p.claim))
	p.at = v
	return err == nil
}

// look reads the object. It reports whether the try is decided: by its own claim, or by another try's end.
func (p *plainTry) look(ctx context.Context) (bool, *Record, error) {
	o, err := p.client.Get(ctx, p.name)
	if err != nil {
		return false, nil, nil
	}
	var c plainClaim
	if err := json.Unmarshal(o.Value, &c); err != nil {
		return true, nil, unknown(result.MayHaveRun, "the key's record can't be read")
	}
	if c.Try == p.claim.Try {
		p.at = o.Version
		return true, nil, nil
	}
	return p.other(c)
}

// other decides on what another try left.
func (p *plainTry) other(c plainClaim) (bool, *Record, error) {
	switch {
	case c.Digest != p.claim.Digest && c.State == plainRan:
		return true, nil, mismatch(result.NotRun)
	case c.Digest != p.claim.Digest:
		return true, nil, mismatch(result.MayHaveRun)
	case c.State == plainRan && c.Record != nil:
		return true, c.Record, nil
	case c.State == plainRan:
		return true, nil, unknown(result.Ran, "an earlier try ran; its answer was not kept")
	case c.State == plainLost:
		return true, nil, unknown(result.MayHaveRun, "an earlier try may have run")
	}
	return false, nil, nil
}

// settle records how the try ended. A write that fails leaves the claim, which says that the request may have run.
func (p *plainTry) settle(ctx context.Context, o Outcome, record *Record) {
	if o == Released {
		_ = p.client.Delete(ctx, p.name, p.at)
		return
	}
	p.claim.State = plainLost
	if o == Ran {
		p.claim.State, p.claim.Record = plainRan, record
	}
	_, _ = p.client.Put(ctx, p.name, p.at, encodeClaim(p.claim))
}

func encodeClaim(c plainClaim) []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // the types hold nothing that JSON can't express
	}
	return data
}
