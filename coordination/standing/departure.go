package standing

import (
	"time"

	"dogwooddyke/state/statement"
)

// departure is what an endpoint has said of whether it leaves. Each answer of one that leaves carries the sign, and now and then an answer of
// one that stays. So a sign is a doubt. The endpoint confirms it when it is asked, and takes it back by any answer to something sent after it.
type departure struct {
	doubtedAt time.Time // receipt of the first sign that was not taken back; zero: none
	signedAt  time.Time // receipt of the latest sign
	confirmed bool
	toldSince time.Time // receipt of another instance's first word that the endpoint leaves
	toldUntil time.Time // time until which that word holds
	toldAt    time.Time // receipt of the latest such word

	questions int       // asked since the first sign
	askAt     time.Time // time of the next question
	asking    bool      // whether a question has no answer yet
}

// observe applies an answer to something that was sent at the given time. An answer of another process at the endpoint's address needs no
// confirmation.
func (d *departure) observe(s statement.Statement, sent, now time.Time) {
	later := !sent.Before(d.signedAt)
	switch {
	case !s.Closes && !s.Replaced:
		if !d.doubtedAt.IsZero() && later {
			*d = departure{toldSince: d.toldSince, toldUntil: d.toldUntil, toldAt: d.toldAt, asking: d.asking}
		}
		if sent.After(d.toldAt) {
			d.toldUntil = time.Time{} // each answer of an endpoint that leaves would carry the sign
		}
		return
	case d.doubtedAt.IsZero():
		d.doubtedAt, d.askAt = now, now
	case later && s.Health:
		d.confirmed = true
	}
	d.confirmed = d.confirmed || s.Replaced
	d.signedAt = now
}

// expire ends a doubt that the endpoint has not taken back within the limit.
func (d *departure) expire(limit time.Duration, now time.Time) {
	if d.doubted() && now.Sub(d.doubtedAt) >= limit {
		d.confirmed = true
	}
}

// doubted reports whether it is not known yet if the endpoint leaves.
func (d *departure) doubted() bool { return !d.doubtedAt.IsZero() && !d.confirmed }

// leaves reports whether the endpoint is to be sent no new work.
func (d *departure) leaves(now time.Time) bool { return d.confirmed || now.Before(d.toldUntil) }

// since returns the time since which an endpoint that leaves has said so.
func (d *departure) since() time.Time {
	if d.confirmed {
		return d.doubtedAt
	}
	return d.toldSince
}

// tell applies the word of another instance, which holds for the given time.
func (d *departure) tell(lasts time.Duration, now time.Time) {
	if !now.Before(d.toldUntil) {
		d.toldSince = now
	}
	d.toldUntil, d.toldAt = now.Add(lasts), now
}

// ask reports whether a question is due, and marks it as asked.
func (d *departure) ask(now time.Time) bool {
	if d.doubtedAt.IsZero() || d.asking || now.Before(d.askAt) {
		return false
	}
	d.asking = true
	return true
}

// asked notes that a question has been answered, or has failed.
func (d *departure) asked(now time.Time) {
	d.asking = false
	d.askAt = now.Add(min(firstQuestionPause<<min(d.questions, 10), longestQuestionPause))
	d.questions++
}
