package store

import (
	"net/http"
	"strconv"

	"amaranthstile/result"
)

// answer is the platform's answer, read whole.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a answer) version() (Version, error) {
	v, err := strconv.ParseUint(a.header.Get(HeaderVersion), 10, 64)
	if err != nil || v == 0 {
		return 0, result.Wrap(result.PlatformProtocol, err, "answer without a version")
	}
	return Version(v), nil
}

func (a answer) object(name string) (Object, error) {
	if a.status != http.StatusOK {
		return Object{}, a.failure()
	}
	v, err := a.version()
	if err != nil {
		return Object{}, err
	}
	if len(a.body) > MaxValueBytes {
		return Object{}, result.New(result.PlatformProtocol, "value of %s has %d bytes", name, len(a.body))
	}
	return Object{Name: name, Version: v, Value: a.body}, nil
}

// failure is the error for an answer that is not a success.
func (a answer) failure() error {
	code := result.PlatformProtocol
	switch {
	case a.status == http.StatusNotFound:
		code = result.PlatformNotFound
	case a.status == http.StatusPreconditionFailed, a.status == http.StatusConflict:
		code = result.PlatformConflict
	case a.status == http.StatusRequestEntityTooLarge:
		code = result.PlatformTooLarge
	case a.status == http.StatusTooManyRequests:
		code = result.PlatformLimited
	case a.status >= http.StatusInternalServerError:
		code = result.PlatformUnavailable
	}
	return result.New(code, "platform answered %d", a.status)
}

// writeFailure is failure for a write: the outcome is unknown unless the answer clearly refuses it.
func (a answer) writeFailure() error {
	refused := a.status >= http.StatusBadRequest && a.status < http.StatusInternalServerError
	if !refused && a.header.Get(HeaderNotApplied) == "" {
		return result.New(result.PlatformOutcomeUnknown, "platform answered %d", a.status)
	}
	return a.failure()
}

// putFailure is writeFailure for a put: an absent object does not have the version that was to be replaced.
func (a answer) putFailure() error {
	if a.status == http.StatusNotFound {
		return result.New(result.PlatformConflict, "the object does not exist")
	}
	return a.writeFailure()
}
