package call

import (
	"context"
	"time"

	"github.com/google/uuid"

	"dogwooddyke/coordination/claim"
	"dogwooddyke/protocol/answer"
)

// runKeyed claims the call's key in the log and runs the call, or replays the result of the earlier call that holds the key.
func (x *execution) runKeyed() Result {
	if len(x.request.Key) > MaximumKeyBytes {
		return x.refuse(ReasonKeyInvalid)
	}
	key := claim.NewKey(x.request.Workspace, x.request.Entry, x.request.Key)
	body := claim.NewBody([]byte(x.request.Method), []byte(x.request.Path), x.request.Body)
	born, _ := claim.Birth(x.request.Key)
	ctx, cancel := context.WithDeadline(x.caller, x.request.Spec.Deadline)
	grant, call, err := x.runner.Claims.Claim(ctx, key, body, born)
	cancel()
	if err != nil {
		return x.refuseUnclaimed()
	}
	if grant.State == claim.StateGranted {
		return x.runClaimed(key, call)
	}
	if grant.State == claim.StateSettled {
		return x.replay(grant.Data)
	}
	unclaimed, known := unclaimedResults[grant.State]
	if !known {
		return x.refuseUnclaimed()
	}
	return Result{ID: x.request.ID, Outcome: stageOutcomes[unclaimed.stage], Reason: unclaimed.reason, Repeated: unclaimed.stage == stageClaimedElsewhere}
}

// refuseUnclaimed ends a call whose key could not be claimed; its result tells the caller when to retry.
func (x *execution) refuseUnclaimed() Result {
	result := x.refuse(ReasonNoClaim)
	result.RetryAt = time.Now().Add(unclaimedRetryDelay)
	return result
}

// runClaimed dispatches a call that holds its key. It settles the claim with the response, or abandons it if the call did not run.
func (x *execution) runClaimed(key claim.Digest, call uuid.UUID) Result {
	settlement := claim.Settlement{Key: key, Call: call}
	err := x.dispatch(x.detached, false)
	k := &kept{Reason: ReasonNoResponse}
	if err == nil {
		k, err = x.collect()
	}
	result := x.end(err)
	if result.Outcome == answer.OutcomeNotRun {
		settlement.Abandoned = true
		x.runner.Claims.Settle(settlement)
		return result
	}
	data, encodeErr := k.encode()
	if encodeErr == nil {
		settlement.Data = data
		x.runner.Claims.Settle(settlement)
	}
	return result
}

// replay forwards the stored response of the earlier call with the key to the caller.
func (x *execution) replay(data []byte) Result {
	k, err := decodeKept(data)
	if err != nil {
		return Result{ID: x.request.ID, Outcome: stageOutcomes[stageClaimedElsewhere], Reason: ReasonResultUnknown, Repeated: true, Err: err}
	}
	result := Result{ID: x.request.ID, Reason: k.Reason, Status: k.Status, Repeated: true}
	switch k.Reason {
	case ReasonNone:
		x.stage = stageComplete
	case ReasonResponseCut, ReasonResponseLarge:
		x.stage = stageAnswered
	default:
		x.stage = stageDispatched
	}
	result.Outcome = stageOutcomes[x.stage]
	if x.stage != stageComplete {
		return result
	}
	result.Begun = true
	if err := x.sink.Begin(k.Status, k.Header); err == nil {
		err = x.sink.Write(k.Body)
		result.Err = err
	}
	return result
}
