package caller

import (
	"time"

	"dogwooddyke/protocol/answer"
)

// timedSink takes the time of each token.
type timedSink struct {
	answer.Sink
	timing Timing
	former time.Time
	first  bool
}

func newTimedSink(sink answer.Sink, timing Timing) *timedSink {
	return &timedSink{Sink: sink, timing: timing, former: time.Now(), first: true}
}

// Deliver passes the token on and takes the time.
func (s *timedSink) Deliver(token answer.Token, resume string) error {
	if err := s.Sink.Deliver(token, resume); err != nil {
		return err
	}
	now := time.Now()
	if s.first {
		s.timing.FirstToken(now.Sub(s.former))
	} else {
		s.timing.BetweenTokens(now.Sub(s.former))
	}
	s.first = false
	s.former = now
	return nil
}
