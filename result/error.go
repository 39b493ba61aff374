package result

import (
	"errors"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace    = errorx.NewNamespace("amaranthstile")
	coded        = namespace.NewType("coded")
	codeProperty = errorx.RegisterPrintableProperty("code")
	runProperty  = errorx.RegisterPrintableProperty("run")
	waitProperty = errorx.RegisterPrintableProperty("retryAfter")
)

// New makes an error that carries code; the message is for people and holds no secrets.
func New(code Code, format string, args ...any) error {
	return coded.New(format, args...).WithProperty(codeProperty, code)
}

// Wrap gives an underlying error a code; the cause stays reachable with errors.Is and errors.As.
func Wrap(code Code, cause error, format string, args ...any) error {
	return &wrapped{coded: coded.Wrap(cause, format, args...).WithProperty(codeProperty, code), cause: cause}
}

// wrapped is an error whose cause can be reached by errors.Is and errors.As, which errorx hides.
type wrapped struct {
	coded *errorx.Error
	cause error
}

// Error implements error.
func (w *wrapped) Error() string { return w.coded.Error() }

// Unwrap returns the coded error and its cause.
func (w *wrapped) Unwrap() []error { return []error{w.coded, w.cause} }

// WithRun returns err with a statement on whether the request was run.
// An error that carries no code becomes Internal.
func WithRun(err error, run RunStatus) error {
	var e *errorx.Error
	if !errors.As(err, &e) {
		e = coded.Wrap(err, "internal error").WithProperty(codeProperty, Internal)
	}
	return &wrapped{coded: e.WithProperty(runProperty, run), cause: err}
}

// WithRetryAfter returns err with the time after which trying again may help.
func WithRetryAfter(err error, after time.Duration) error {
	var e *errorx.Error
	if !errors.As(err, &e) {
		return err
	}
	return &wrapped{coded: e.WithProperty(waitProperty, after), cause: err}
}

// RetryAfterOf returns the time after which trying again may help, 0 where nothing is known.
func RetryAfterOf(err error) time.Duration {
	if v, ok := property(err, waitProperty); ok {
		return v.(time.Duration)
	}
	return 0
}

// CodeOf returns the code that err carries, OK for nil and Internal for an error without a code.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	if v, ok := property(err, codeProperty); ok {
		return v.(Code)
	}
	return Internal
}

// MessageOf returns err's own message without its causes, or its code's text for an error without a code.
func MessageOf(err error) string {
	var e *errorx.Error
	if errors.As(err, &e) && e.Message() != "" {
		return e.Message()
	}
	return CodeOf(err).Entry().Text
}

// RunOf returns what err says about the request. Without a statement the answer is MayHaveRun,
// so that an oversight never claims that a request was not run.
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

func property(err error, p errorx.Property) (any, bool) {
	var e *errorx.Error
	if !errors.As(err, &e) {
		return nil, false
	}
	return e.Property(p)
}
