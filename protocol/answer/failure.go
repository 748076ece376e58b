package answer

import (
	"context"
	"errors"

	"dogwooddyke/coordination/routing"
)

// Causes for ending a connection, a generation or an answer.
var (
	errProgressTimeout = errors.New("no token before the progress deadline")
	errGap             = errors.New("a token index was skipped")
	errCallerReturned  = errors.New("the caller resumed the answer")
	errGenerationLost  = errors.New("the engine no longer has the generation")
	errNoProgress      = errors.New("new connections to the generation deliver no token")
	errUnreachable     = errors.New("could not connect to the engine")
	errReplayDiffers   = errors.New("the replay differs from the delivered tokens")
	errTooLarge        = errors.New("the answer is too large to buffer")
	errCallerLeft      = errors.New("the caller left")
	errBudgetExhausted = errors.New("the retry budget is exhausted")
)

// reasonOf returns the metrics label for a cause.
func reasonOf(cause error) string {
	if refusal, ok := errors.AsType[*routing.RefusalError](cause); ok {
		return string(refusal.Reason)
	}
	switch {
	case errors.Is(cause, errCallerLeft):
		return "callerLeft"
	case errors.Is(cause, errBudgetExhausted):
		return "retryBudget"
	case errors.Is(cause, errReplayDiffers):
		return "replayDiffers"
	case errors.Is(cause, errTooLarge):
		return "tooLarge"
	case errors.Is(cause, errGenerationLost):
		return "generationLost"
	case errors.Is(cause, errNoProgress):
		return "silent"
	case errors.Is(cause, errUnreachable):
		return "unreachable"
	case errors.Is(cause, ErrNotStarted):
		return "notStarted"
	case errors.Is(cause, context.DeadlineExceeded):
		return "deadline"
	default:
		return "failed"
	}
}

// detailOf returns the text of a cause, cut to maximumDetailBytes, for explanations.
func detailOf(cause error) string {
	text := cause.Error()
	return text[:min(len(text), maximumDetailBytes)]
}
