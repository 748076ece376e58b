package call

import (
	"context"
	"time"

	"github.com/google/uuid"

	"dogwooddyke/coordination/claim"
	"dogwooddyke/protocol/answer"
)

// runKeyed runs a call under a claim in the log, or gives its caller the result of the call that has the key.
func (c *course) runKeyed() Result {
	if len(c.request.Key) > MaximumKeyBytes {
		return c.refuse(ReasonKeyInvalid)
	}
	key := claim.NewKey(c.request.Workspace, c.request.Entry, c.request.Key)
	body := claim.NewBody([]byte(c.request.Method), []byte(c.request.Path), c.request.Body)
	born, _ := claim.Birth(c.request.Key)
	ctx, cancel := context.WithDeadline(c.caller, c.request.Ask.Deadline)
	grant, call, err := c.runner.Claims.Claim(ctx, key, body, born)
	cancel()
	if err != nil {
		return c.refuseUnclaimed()
	}
	if grant.State == claim.StateGranted {
		return c.runClaimed(key, call)
	}
	if grant.State == claim.StateSettled {
		return c.repeat(grant.Data)
	}
	end, known := stateEnds[grant.State]
	if !known {
		return c.refuseUnclaimed()
	}
	return Result{ID: c.request.ID, Outcome: outcomes[end.stage], Reason: end.reason, Repeated: end.stage == stageTaken}
}

// refuseUnclaimed ends a call whose key could not be claimed; asking again soon may help.
func (c *course) refuseUnclaimed() Result {
	result := c.refuse(ReasonNoClaim)
	result.RetryAt = time.Now().Add(unclaimedPause)
	return result
}

// runClaimed dispatches the call that has the key, and reports what became of it.
func (c *course) runClaimed(key claim.Digest, call uuid.UUID) Result {
	settlement := claim.Settlement{Key: key, Call: call}
	err := c.dispatch(c.lasting, false)
	k := &kept{Reason: ReasonNoResponse}
	if err == nil {
		k, err = c.collect()
	}
	result := c.end(err)
	if result.Outcome == answer.OutcomeNotRun {
		settlement.Abandoned = true
		c.runner.Claims.Settle(settlement)
		return result
	}
	data, encoding := k.encode()
	if encoding == nil {
		settlement.Data = data
		c.runner.Claims.Settle(settlement)
	}
	return result
}

// repeat gives the caller what is kept of the earlier call's response.
func (c *course) repeat(data []byte) Result {
	k, err := decodeKept(data)
	if err != nil {
		return Result{ID: c.request.ID, Outcome: outcomes[stageTaken], Reason: ReasonResultUnknown, Repeated: true, Err: err}
	}
	result := Result{ID: c.request.ID, Reason: k.Reason, Status: k.Status, Repeated: true}
	switch k.Reason {
	case ReasonNone:
		c.stage = stageWhole
	case ReasonResponseCut, ReasonResponseLarge:
		c.stage = stageAnswered
	default:
		c.stage = stageDispatched
	}
	result.Outcome = outcomes[c.stage]
	if c.stage != stageWhole {
		return result
	}
	result.Begun = true
	if err := c.sink.Begin(k.Status, k.Header); err == nil {
		err = c.sink.Write(k.Body)
		result.Err = err
	}
	return result
}
