package shutdown

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// However short the grace period is, connections are accepted before the last answers, and these can be sent before the process is ended.
func TestPlan(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1000, 0)
	for _, grace := range []time.Duration{time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second, time.Minute} {
		p := NewPlan(began, grace)
		is.True(p.Listen.After(began))
		is.True(p.Listen.Before(p.Answers))
		is.True(p.Answers.Before(p.End))
		is.True(p.End.Before(p.Close))
		is.True(p.Close.Before(p.Stop))
		is.True(p.Stop.Before(p.Exit))
		is.True(p.Exit.Before(began.Add(grace)))
	}
	is.Equal(NewPlan(began, 8*time.Second), Plan{
		Listen:  began.Add(2500 * time.Millisecond),
		Answers: began.Add(7300 * time.Millisecond),
		End:     began.Add(7600 * time.Millisecond),
		Close:   began.Add(7700 * time.Millisecond),
		Stop:    began.Add(7800 * time.Millisecond),
		Exit:    began.Add(7900 * time.Millisecond),
	})
	now := Now(began)
	is.True(now.End.Equal(began) && now.Exit.After(began))
}
