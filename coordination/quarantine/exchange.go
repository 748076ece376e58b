package quarantine

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"dogwooddyke/coordination/internal/message"
	"dogwooddyke/internal/wait"
	"dogwooddyke/state/process"
	"dogwooddyke/state/prompt"
	"dogwooddyke/state/suspicion"
)

// How evidence and trials travel:
//
//	a request's endpoint crashes -> Crashed      the instance records it, and its next reports carry it to the others (Notices, Receive)
//	output of a request          -> Answered     the same, if that clears a part
//	a request is about to be sent -> Admit       asks the steward, which may be this instance, if one of its parts is blamed for crashes
//	Run                          -> Comparison   finds what this instance has missed while it was starting, frozen or cut off

// Fleet is what this instance knows of the others.
type Fleet interface {
	// Steward returns the instance that decides about suspected parts, and whether one is known.
	Steward() (netip.AddrPort, bool)
	// Any returns another live instance, chosen at random, and whether there is one.
	Any() (netip.AddrPort, bool)
}

// Network sends messages to other instances; they may be lost.
type Network interface {
	SendTrialAsk(to netip.AddrPort, ask []byte)
	SendTrialGrant(to netip.AddrPort, grant []byte)
	SendComparison(to netip.AddrPort, comparison []byte)
	SendNews(to netip.AddrPort, news []byte)
}

// Observer is notified of changes; its methods must be fast and safe for concurrent use.
type Observer interface {
	// PartSuspected is called when a part of requests begins to be suspected, counts for another crash, or is cleared (crashes is then 0).
	PartSuspected(p prompt.Part, crashes int)
	// TrialDecided is called for each decision about a request with a part that is blamed for crashes.
	TrialDecided(v Verdict)
	// TrialMessageUnreadable is called for a message that could not be encoded or decoded.
	TrialMessageUnreadable(err error)
}

// Config is what an exchange works with; all fields are required.
type Config struct {
	Self     netip.AddrPort
	Fleet    Fleet
	Network  Network
	Observer Observer
	OnNews   func() // called when the next report should be sent soon, because it carries news
}

// Exchange holds what this instance knows of crashes and answers, and asks the steward about requests with a blamed part. It is
// safe for concurrent use; Fleet, Network, Observer and OnNews are not called while its mutex is held.
type Exchange struct {
	config Config
	codec  message.Codec

	mutex       sync.Mutex
	table       *suspicion.Table
	steward     *Steward
	pending     []pendingNews
	reported    map[prompt.Part]int     // crashes of each suspect that the observer was last told
	refused     map[prompt.Part]refusal // parts that the steward has refused, with the time of the next trial
	silentUntil time.Time               // until which the steward is not asked, since it has not answered
	number      uint64                  // of the latest ask
	waiting     map[uint64]chan *Grant  // asks without an answer
	state       evidenceState
	uninformed  int           // answers of instances that have just started too
	isInformed  bool          // whether this instance knows what the others know, or there are none
	informed    chan struct{} // closed once that is so
}

// evidenceState identifies what is known at a time.
type evidenceState struct {
	version uint64        // rises with each change
	changed chan struct{} // closed at the next change
}

// pendingNews is a piece of news that the next reports carry.
type pendingNews struct {
	crash       process.ID  // of which the news are; the zero value: they are of an answer
	part        prompt.Part // that has been answered on
	reportsLeft int
}

// NewExchange returns an exchange that knows nothing; Run must be called.
func NewExchange(c Config) *Exchange {
	return &Exchange{
		config:   c,
		codec:    message.Codec{Unreadable: c.Observer.TrialMessageUnreadable},
		table:    suspicion.NewTable(),
		steward:  NewSteward(),
		reported: make(map[prompt.Part]int),
		refused:  make(map[prompt.Part]refusal),
		waiting:  make(map[uint64]chan *Grant),
		informed: make(chan struct{}),
		state:    evidenceState{version: 1, changed: make(chan struct{})},
	}
}

// Run compares what this instance knows with other instances until the context ends: first often, until one of them has told it what it knows.
func (x *Exchange) Run(ctx context.Context) {
	giveUp := time.Now().Add(maximumStart)
	for !x.hasBeenInformed() && time.Now().Before(giveUp) {
		x.compare(true, time.Now())
		if wait.For(ctx, startInterval) != nil {
			return
		}
	}
	x.setInformed()
	for wait.For(ctx, wait.Jitter(syncInterval)) == nil {
		x.compare(false, time.Now())
	}
}

// compare sends another instance a digest of what this one knows.
func (x *Exchange) compare(starting bool, now time.Time) {
	to, found := x.config.Fleet.Any()
	if !found {
		return
	}
	x.mutex.Lock()
	digest := x.digest(now)
	x.mutex.Unlock()
	if data := x.codec.Encode(&Comparison{From: x.config.Self, Digest: digest, Starting: starting}); data != nil {
		x.config.Network.SendComparison(to, data)
	}
}

// hasBeenInformed reports whether this instance knows what the others know.
func (x *Exchange) hasBeenInformed() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.isInformed
}

// setInformed notes that this instance knows what the others know.
func (x *Exchange) setInformed() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !x.isInformed {
		x.isInformed = true
		close(x.informed)
	}
}

// awaitInformed waits until this instance knows what the others know, until the deadline at the latest.
func (x *Exchange) awaitInformed(ctx context.Context, deadline time.Time) error {
	if x.hasBeenInformed() {
		return nil
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-x.informed:
		return nil
	case <-timer.C:
		return nil
	}
}

// Crashed records that an endpoint has crashed under a request, with the parts that may have caused it.
func (x *Exchange) Crashed(p process.ID, parts []prompt.Part, now time.Time) {
	x.recordCrash(suspicion.Crash{Process: p, At: now, Prompts: [][]prompt.Part{parts}}, now)
}

// crashedUnder records a crash under an admitted request.
func (x *Exchange) crashedUnder(a Admission, p process.ID, parts []prompt.Part, now time.Time) {
	crash := suspicion.Crash{Process: p, At: now, Prompts: [][]prompt.Part{parts}}
	if a.number > 0 {
		crash.Tried = []prompt.Part{a.part}
	}
	x.recordCrash(crash, now)
}

// recordCrash adds a crash under one request to the evidence, and to the next reports.
func (x *Exchange) recordCrash(crash suspicion.Crash, now time.Time) {
	p, parts := crash.Process, crash.Prompts[0]
	if len(parts) == 0 {
		return
	}
	x.mutex.Lock()
	added := x.table.AddCrash(crash)
	if added {
		x.report(pendingNews{crash: p})
		// Which of the parts were sound until now may be known to this instance only.
		for _, part := range parts {
			if !x.table.AnsweredAt(part).IsZero() {
				x.report(pendingNews{part: part})
			}
		}
	}
	x.notifyAndUnlock(added, now)
	if added {
		x.config.OnNews()
	}
}

// Answered records that an endpoint has answered on these parts.
func (x *Exchange) Answered(parts []prompt.Part, now time.Time) {
	x.mutex.Lock()
	cleared := false
	for _, p := range parts {
		if x.table.AddAnswer(p, now) {
			cleared = true
			x.report(pendingNews{part: p})
		}
	}
	x.notifyAndUnlock(cleared, now)
	if cleared {
		x.config.OnNews()
	}
}

// report has the next reports carry a piece of news; the caller holds the mutex. If there are too many, the oldest is dropped: comparisons find
// what the others lack.
func (x *Exchange) report(news pendingNews) {
	x.pending = slices.DeleteFunc(x.pending, func(p pendingNews) bool { return p.crash == news.crash && p.part == news.part })
	news.reportsLeft = newsRepeats
	x.pending = append(x.pending, news)
	x.pending = x.pending[max(len(x.pending)-maximumPending, 0):]
}

// notifyAndUnlock unlocks the mutex, and wakes those who wait for a change of the evidence if it has changed. The observer is told which
// suspicions are new.
func (x *Exchange) notifyAndUnlock(changed bool, now time.Time) {
	if !changed {
		x.mutex.Unlock()
		return
	}
	close(x.state.changed)
	x.state = evidenceState{version: x.state.version + 1, changed: make(chan struct{})}
	suspects := x.table.Suspects(now)
	changes := make(map[prompt.Part]int)
	for p, s := range suspects {
		if s.Crashes >= suspectCrashes && x.reported[p] != s.Crashes {
			changes[p] = s.Crashes
		}
	}
	for p := range x.reported {
		if suspects[p].Crashes < suspectCrashes {
			changes[p] = 0
		}
	}
	for p, crashes := range changes {
		if x.reported[p] = crashes; crashes == 0 {
			delete(x.reported, p)
			delete(x.refused, p)
			x.steward.Forget(p)
		}
	}
	x.mutex.Unlock()
	for p, crashes := range changes {
		x.config.Observer.PartSuspected(p, crashes)
	}
}
