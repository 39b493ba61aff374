package result

import (
	"errors"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace          = errorx.NewNamespace("amaranthstile")
	codedType          = namespace.NewType("coded")
	codeProperty       = errorx.RegisterPrintableProperty("code")
	runProperty        = errorx.RegisterPrintableProperty("run")
	retryAfterProperty = errorx.RegisterPrintableProperty("retryAfter")
)

// New returns an error that carries code. The message is meant for people and must not contain secrets.
func New(code Code, format string, args ...any) error {
	return codedType.New(format, args...).WithProperty(codeProperty, code)
}

// Wrap returns an error that carries code and wraps cause, which errors.Is and errors.As still find.
func Wrap(code Code, cause error, format string, args ...any) error {
	return &wrappedError{coded: codedType.Wrap(cause, format, args...).WithProperty(codeProperty, code), cause: cause}
}

// wrappedError makes the cause visible to errors.Is and errors.As, which errorx hides.
type wrappedError struct {
	coded *errorx.Error
	cause error
}

// Error implements error.
func (w *wrappedError) Error() string { return w.coded.Error() }

// Unwrap returns the coded error and its cause.
func (w *wrappedError) Unwrap() []error { return []error{w.coded, w.cause} }

// WithRun returns err with the run status of the request. An error without a code gets the code Internal.
func WithRun(err error, run RunStatus) error {
	var e *errorx.Error
	if !errors.As(err, &e) {
		e = codedType.Wrap(err, "internal error").WithProperty(codeProperty, Internal)
	}
	return &wrappedError{coded: e.WithProperty(runProperty, run), cause: err}
}

// WithRetryAfter returns err with the time after which a retry may succeed. An error without a code is returned
// unchanged.
func WithRetryAfter(err error, after time.Duration) error {
	var e *errorx.Error
	if !errors.As(err, &e) {
		return err
	}
	return &wrappedError{coded: e.WithProperty(retryAfterProperty, after), cause: err}
}

// RetryAfterOf returns the time after which a retry may succeed, or 0 if err does not state one.
func RetryAfterOf(err error) time.Duration {
	if v, ok := property(err, retryAfterProperty); ok {
		return v.(time.Duration)
	}
	return 0
}

// CodeOf returns the code that err carries, OK for nil, or Internal for an error without a code.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	if v, ok := property(err, codeProperty); ok {
		return v.(Code)
	}
	return Internal
}

// MessageOf returns the message of err without its causes, or the text of its code if err has no message.
func MessageOf(err error) string {
	var e *errorx.Error
	if errors.As(err, &e) && e.Message() != "" {
		return e.Message()
	}
	return CodeOf(err).Entry().Text
}

// RunOf returns the run status that err states. It returns MayHaveRun for an error without one, so that an omission
// never claims that a request was not run.
func RunOf(err error) RunStatus {
	if v, ok := property(err, runProperty); ok {
		return v.(RunStatus)
	}
	return MayHaveRun
}

// Is reports whether err carries code.
func Is(err error, code Code) bool {
	return CodeOf(err) == code
}

// property returns a property of the outermost errorx error in the chain of err.
func property(err error, p errorx.Property) (any, bool) {
	var e *errorx.Error
	if !errors.As(err, &e) {
		return nil, false
	}
	return e.Property(p)
}
