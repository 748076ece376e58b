package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/record"
	"dogwooddyke/transport/platform"
)

// session is one operator at work: it folds the log for itself and publishes one change after the other.
type session struct {
	log     *platform.Log
	engines []netip.AddrPort
	table   *catalogue.Table
	former  [subjectCount][]uint64 // revisions that it has seen, oldest first
	last    *sent
	sent    []sent
	failed  int // changes given up without knowing that they are in the log
}

// sent is a change that was published.
type sent struct {
	wish   wish
	change catalogue.Change
	tries  int
}

func newSession(s *site) *session {
	return &session{
		log:     platform.NewLog("http://"+s.Log.String(), platform.NewClient()),
		engines: s.Engines,
		table:   catalogue.NewTable(catalogue.Rules{}),
	}
}

// run carries out the jobs at their times; one that is late starts at once.
func (s *session) run(ctx context.Context, started time.Time, jobs []job) {
	for i := range jobs {
		if wait.For(ctx, time.Until(started.Add(jobs[i].at))) != nil {
			return
		}
		s.do(ctx, &jobs[i])
	}
}

// do publishes one change and repeats it until it is known to be in the log.
func (s *session) do(ctx context.Context, j *job) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	s.read(ctx)
	next := &sent{wish: j.wish}
	if j.wish == wishRepeat && s.last != nil {
		next.change = s.last.change
	} else {
		next.change = s.change(j)
	}
	if wait.For(ctx, j.edit) != nil {
		return
	}
	data, err := catalogue.Encode(catalogue.Record{Change: &next.change})
	if err != nil || !s.append(ctx, data, next) {
		s.failed++
		return
	}
	s.last = next
	s.sent = append(s.sent, *next)
}

// append tries until the log confirms; a repeat after a lost answer has the same id.
func (s *session) append(ctx context.Context, data []byte, next *sent) bool {
	for {
		next.tries++
		_, err := s.log.Append(ctx, catalogue.Stream, data)
		if err == nil {
			return true
		}
		known := errors.Is(err, record.ErrUnavailable) || errors.Is(err, record.ErrOutcomeUnknown)
		if !known || wait.For(ctx, publishPause/2+rand.N(publishPause)) != nil {
			return false
		}
	}
}

func (s *session) change(j *job) catalogue.Change {
	random := rand.New(rand.NewPCG(j.seed, 2))
	subject := subjectOf(j.subject)
	c := content(j.subject, random, s.engines)
	c.Operator, c.Base, c.Seen = owner, s.table.View().RevisionOf(subject), s.table.Offset()
	if former := s.former[j.subject]; j.wish == wishStale && len(former) > 1 {
		c.Base = former[random.IntN(len(former)-1)]
	}
	if j.wish == wishRemove && c.Base != 0 {
		c.Entry, c.Workspace, c.Removal = nil, nil, &subject
	}
	c.ID, _ = c.DeriveID()
	return c
}

// read folds up to the log's head; without an answer the operator works with what is folded.
func (s *session) read(ctx context.Context) {
	for {
		page, err := s.log.Read(ctx, catalogue.Stream, s.table.Offset()+1, time.Time{})
		if err != nil || len(page.Records) == 0 {
			break
		}
		if _, err := s.table.ApplyAll(page.Records); err != nil {
			break
		}
	}
	for n, r := range revisionsOf(s.table.View()) {
		former := s.former[n]
		if r == 0 || len(former) > 0 && former[len(former)-1] == r {
			continue
		}
		former = append(former, r)
		s.former[n] = former[max(len(former)-maximumOldBases, 0):]
	}
}
