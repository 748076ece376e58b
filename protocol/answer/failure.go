package answer

import (
	"context"
	"errors"

	"dogwooddyke/coordination/routing"
)

// Causes that end a connection, a generation or an answer.
var (
	errSilent    = errors.New("no token before the progress deadline")
	errGap       = errors.New("a token was left out")
	errReturned  = errors.New("the caller came back")
	errLost      = errors.New("the engine lost the generation")
	errFruitless = errors.New("new connections bring no token")
	errBroken    = errors.New("the engine takes no connection")
	errReplay    = errors.New("the replay differs from what was delivered")
	errTooLarge  = errors.New("the answer is too large to hold")
	errCaller    = errors.New("the caller left")
	errBudget    = errors.New("no retry left")
)

// reasonOf names a cause in few words, for metrics labels.
func reasonOf(cause error) string {
	if refusal, ok := errors.AsType[*routing.RefusalError](cause); ok {
		return string(refusal.Reason)
	}
	switch {
	case errors.Is(cause, errCaller):
		return "callerLeft"
	case errors.Is(cause, errBudget):
		return "retryBudget"
	case errors.Is(cause, errReplay):
		return "replayDiffers"
	case errors.Is(cause, errTooLarge):
		return "tooLarge"
	case errors.Is(cause, errLost):
		return "generationLost"
	case errors.Is(cause, errFruitless):
		return "silent"
	case errors.Is(cause, errBroken):
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
