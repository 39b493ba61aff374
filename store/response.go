package store

import (
	"net/http"
	"strconv"

	"amaranthstile/result"
)

// response is a complete response of the platform.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (r response) version() (Version, error) {
	v, err := strconv.ParseUint(r.header.Get(HeaderVersion), 10, 64)
	if err != nil || v == 0 {
		return 0, result.Wrap(result.PlatformProtocol, err, "response without a valid object version")
	}
	return Version(v), nil
}

func (r response) object(name string) (Object, error) {
	if r.status != http.StatusOK {
		return Object{}, r.statusError()
	}
	v, err := r.version()
	if err != nil {
		return Object{}, err
	}
	if len(r.body) > MaxValueBytes {
		return Object{}, result.New(result.PlatformProtocol,
			"value of object %s has %d bytes, more than the maximum", name, len(r.body))
	}
	return Object{Name: name, Version: v, Value: r.body}, nil
}

// statusError returns the error for a response that is not a success.
func (r response) statusError() error {
	code := result.PlatformProtocol
	switch {
	case r.status == http.StatusNotFound:
		code = result.PlatformNotFound
	case r.status == http.StatusPreconditionFailed, r.status == http.StatusConflict:
		code = result.PlatformConflict
	case r.status == http.StatusRequestEntityTooLarge:
		code = result.PlatformTooLarge
	case r.status == http.StatusTooManyRequests:
		code = result.PlatformLimited
	case r.status >= http.StatusInternalServerError:
		code = result.PlatformUnavailable
	}
	return result.New(code, "platform responded with status %d", r.status)
}

// writeStatusError is statusError for a write: the outcome is unknown unless the response states that the write had no
// effect.
func (r response) writeStatusError() error {
	refused := r.status >= http.StatusBadRequest && r.status < http.StatusInternalServerError
	if !refused && r.header.Get(HeaderNotApplied) == "" {
		return result.New(result.PlatformOutcomeUnknown, "platform responded with status %d", r.status)
	}
	return r.statusError()
}

// putStatusError is writeStatusError for a put. If the object is absent, the put fails with a conflict, because the
// object does not have the expected version.
func (r response) putStatusError() error {
	if r.status == http.StatusNotFound {
		return result.New(result.PlatformConflict, "the object does not exist")
	}
	return r.writeStatusError()
}
