package quarantine

import (
	"context"
	"net/netip"
	"time"

	"dogwooddyke/state/prompt"
)

// newAsk returns an ask about a request, nil if none of its parts is blamed for crashes, and the state of the evidence.
func (x *Exchange) newAsk(parts []prompt.Part, implicated bool, now time.Time) (*Ask, evidenceState) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !x.isBlamed(parts, implicated, now) {
		return nil, x.state
	}
	x.number++
	return &Ask{From: x.config.Self, Number: x.number, Parts: parts, Implicated: implicated, News: x.newsOf(parts, now)}, x.state
}

// decide returns the steward's decision about an ask, and the steward. Without an answer this instance decides by what it knows, and allows no
// trial.
func (x *Exchange) decide(ctx context.Context, ask *Ask) (Decision, netip.AddrPort, error) {
	if d, found := x.knownRefusal(ask.Parts, time.Now()); found {
		return d, netip.AddrPort{}, nil
	}
	steward, known := x.config.Fleet.Steward()
	if known && steward == x.config.Self {
		return x.decideHere(ask, time.Now()), steward, nil
	}
	if known && !x.isStewardSilent(time.Now()) {
		grant, err := x.askSteward(ctx, steward, ask)
		if err != nil {
			return Decision{}, steward, err
		}
		if grant != nil {
			return grant.decision(), steward, nil
		}
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	now := time.Now()
	found := findCause(x.table, ask.Parts, ask.Implicated, now)
	if found.crashes == 0 {
		return Decision{Verdict: VerdictSound}, steward, nil
	}
	return Decision{Verdict: VerdictBusy, Part: found.part, RetryAfter: silentPause}, steward, nil
}

// refusal is the steward's latest refusal of a part.
type refusal struct {
	retryAt time.Time // of the next trial
	askAt   time.Time // when the steward is asked again: it may have learnt that another part is to blame
}

// knownRefusal returns the steward's latest refusal of one of the parts, if it still holds.
func (x *Exchange) knownRefusal(parts []prompt.Part, now time.Time) (Decision, bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, p := range parts {
		known, found := x.refused[p]
		if !found {
			continue
		}
		if !now.Before(known.askAt) || x.table.Blamed(p, now) == 0 {
			delete(x.refused, p)
			continue
		}
		return Decision{Verdict: VerdictRefused, Part: p, RetryAfter: known.retryAt.Sub(now)}, true
	}
	return Decision{}, false
}

// decideHere decides about an ask at the steward.
func (x *Exchange) decideHere(ask *Ask, now time.Time) Decision {
	x.mutex.Lock()
	changed := x.record(&ask.News, now)
	d := x.steward.Decide(x.table, ask.Parts, ask.Implicated, TrialID{ask.From, ask.Number}, now)
	x.notifyAndUnlock(changed, now)
	return d
}

// isStewardSilent reports whether the steward has lately not answered.
func (x *Exchange) isStewardSilent(now time.Time) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return now.Before(x.silentUntil)
}

// askSteward sends an ask and returns the answer; nil if there is none.
func (x *Exchange) askSteward(ctx context.Context, steward netip.AddrPort, ask *Ask) (*Grant, error) {
	data := x.codec.Encode(ask)
	if data == nil {
		return nil, nil
	}
	answer := make(chan *Grant, 1)
	x.mutex.Lock()
	x.waiting[ask.Number] = answer
	x.mutex.Unlock()
	defer func() {
		x.mutex.Lock()
		delete(x.waiting, ask.Number)
		x.mutex.Unlock()
	}()
	for range askAttempts {
		x.config.Network.SendTrialAsk(steward, data)
		timer := time.NewTimer(askTimeout)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		case grant := <-answer:
			timer.Stop()
			x.applyGrant(grant, time.Now())
			return grant, nil
		case <-timer.C:
		}
	}
	x.mutex.Lock()
	x.silentUntil = time.Now().Add(silentPause)
	x.mutex.Unlock()
	return nil, nil
}

// applyGrant records what the steward's answer says.
func (x *Exchange) applyGrant(grant *Grant, now time.Time) {
	x.mutex.Lock()
	changed := x.record(&grant.News, now)
	if grant.Verdict == VerdictRefused {
		x.refused[grant.Part] = refusal{retryAt: now.Add(grant.RetryAfter), askAt: now.Add(min(grant.RetryAfter, refusalMemory))}
	}
	x.notifyAndUnlock(changed, now)
}

// decision returns the decision of an answer.
func (g *Grant) decision() Decision {
	return Decision{Verdict: g.Verdict, Part: g.Part, RetryAfter: g.RetryAfter}
}

// ReceiveAsk decides about an ask of another instance and sends the answer.
func (x *Exchange) ReceiveAsk(data []byte, now time.Time) {
	ask := &Ask{}
	if !x.codec.Decode(data, ask) {
		return
	}
	if ask.Ended {
		x.endHere(ask, now)
		return
	}
	d := x.decideHere(ask, now)
	x.mutex.Lock()
	news := x.newsOf(ask.Parts, now)
	x.mutex.Unlock()
	grant := &Grant{Number: ask.Number, Verdict: d.Verdict, Part: d.Part, RetryAfter: d.RetryAfter, News: news}
	if answer := x.codec.Encode(grant); answer != nil {
		x.config.Network.SendTrialGrant(ask.From, answer)
	}
}

// ReceiveGrant takes the steward's answer to an ask.
func (x *Exchange) ReceiveGrant(data []byte) {
	grant := &Grant{}
	if !x.codec.Decode(data, grant) {
		return
	}
	x.mutex.Lock()
	answer := x.waiting[grant.Number]
	x.mutex.Unlock()
	if answer == nil {
		return
	}
	select {
	case answer <- grant:
	default: // the ask was repeated, and both were answered
	}
}

// endHere ends a trial at the steward.
func (x *Exchange) endHere(ask *Ask, now time.Time) {
	x.mutex.Lock()
	changed := x.record(&ask.News, now)
	x.steward.End(TrialID{ask.From, ask.Number}, ask.Failed, now)
	x.notifyAndUnlock(changed, now)
}
