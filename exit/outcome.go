package exit

import (
	"context"
	"errors"
	"net/http"

	"amaranthstile/backend"
	"amaranthstile/result"
)

// outcomeWithoutResponse returns the outcome of an exchange without a response.
func outcomeWithoutResponse(ctx context.Context, wrote bool, body *observedBody) backend.Outcome {
	switch {
	case body.readFailed.Load():
		return backend.OutcomeCancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return backend.OutcomeTimeout
	case ctx.Err() != nil:
		return backend.OutcomeCancelled
	case !wrote:
		return backend.OutcomeUnreachable
	}
	return backend.OutcomeAborted
}

// outcomeOfInvalidResponse returns the outcome of a response for which checkResponse returned err.
func outcomeOfInvalidResponse(err error) backend.Outcome {
	if result.Is(err, result.AnswerCrossed) {
		return backend.OutcomeCrossed
	}
	return backend.OutcomeTruncated
}

// outcomeOfBrokenResponse returns the outcome of a response that could not be passed on whole, because either the
// backend server or the entry side broke it.
func outcomeOfBrokenResponse(ctx context.Context, err error) backend.Outcome {
	var broken *brokenResponseError
	byBackend := result.Is(err, result.AnswerTruncated) || errors.As(err, &broken) && broken.byBackend
	if !byBackend || errors.Is(ctx.Err(), context.Canceled) {
		return backend.OutcomeCancelled
	}
	if ctx.Err() != nil {
		return backend.OutcomeTimeout
	}
	return backend.OutcomeTruncated
}

// outcomeOfResponse returns the outcome of a whole response with this status.
func outcomeOfResponse(status int) backend.Outcome {
	switch {
	case status == http.StatusServiceUnavailable:
		return backend.OutcomeShed
	case status >= http.StatusInternalServerError:
		return backend.OutcomeError
	}
	return backend.OutcomeAnswered
}
