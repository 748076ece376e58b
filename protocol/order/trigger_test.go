package order

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An engine fails right after a check has read its report. The check finds the entry steady, and without the trigger during the check the
// next one would follow only after SteadyIntervalMinimum or more.
func TestTriggerDuringCheck(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r, s := NewRunner(Options{}), &entryState{}
	r.entries["e"] = s
	is.True(r.beginCheck(s, now))
	r.Trigger("e")
	r.endCheck(s, Plan{Steady: true}, 1, now)
	is.True(r.beginCheck(s, now))
	r.endCheck(s, Plan{Steady: true}, 1, now)
	is.True(!r.beginCheck(s, now.Add(SteadyIntervalMinimum-1)))
	is.True(r.beginCheck(s, now.Add(SteadyIntervalMinimum)))
}
