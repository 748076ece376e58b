package answer

import (
	"context"
	"errors"

	"dogwooddyke/coordination/routing"
)

// Causes that end a connection, a generation or an answer.
var (
	errTokenTimeout    = errors.New("no token before the progress deadline")
	errGap             = errors.New("a token was left out")
	errCallerReturned  = errors.New("the caller came back")
	errGenerationLost  = errors.New("the engine lost the generation")
	errNoProgress      = errors.New("new connections bring no token")
	errUnreachable     = errors.New("the engine takes no connection")
	errReplayDiffers   = errors.New("the replay differs from what was delivered")
	errTooLarge        = errors.New("the answer is too large to hold")
	errCallerLeft      = errors.New("the caller left")
	errBudgetExhausted = errors.New("no retry left")
)

// reasonOf names a cause in few words, for metrics labels.
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

// detailOf describes a cause for explanations.
func detailOf(cause error) string {
	text := cause.Error()
	return text[:min(len(text), maximumDetailBytes)]
}
