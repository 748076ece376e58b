package standing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/statement"
)

func TestDeparture(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	sign := func(d *departure, sent, received int) {
		d.observe(statement.Statement{Closes: true}, at(sent), at(received))
	}
	confirm := func(d *departure, sent, received int) {
		d.observe(statement.Statement{Closes: true, Health: true}, at(sent), at(received))
	}
	none := func(d *departure, sent, received int) { d.observe(statement.Statement{}, at(sent), at(received)) }

	t.Run("the first sign is a doubt", func(t *testing.T) {
		is := is.New(t)
		d := &departure{}
		none(d, 0, 5)
		is.True(!d.doubted())
		sign(d, 0, 10)
		is.True(d.doubted())
		is.True(!d.leaves(at(10)))
	})
	t.Run("a health answer that was asked for after it confirms the doubt, any answer ends it", func(t *testing.T) {
		is := is.New(t)
		d := &departure{}
		sign(d, 0, 10)
		confirm(d, 5, 15)
		sign(d, 16, 20)
		is.True(d.doubted()) // an endpoint whose answers end their connections may stay
		confirm(d, 21, 30)
		is.True(d.leaves(at(30)))
		d = &departure{}
		sign(d, 0, 10)
		none(d, 11, 20)
		is.True(!d.doubted() && !d.leaves(at(20)))
	})
	t.Run("answers to what was sent before it do neither", func(t *testing.T) {
		is := is.New(t)
		d := &departure{}
		sign(d, 0, 10)
		sign(d, 5, 20)
		none(d, 10, 30)
		is.True(d.doubted())
		none(d, 15, 40) // sent before the latest sign
		is.True(d.doubted())
		none(d, 21, 50)
		is.True(!d.doubted())
	})
	t.Run("an endpoint that said for a while that it leaves is asked again within two seconds", func(t *testing.T) {
		is := is.New(t)
		d := &departure{}
		confirmed := at(0)
		d.observe(statement.Statement{Closes: true}, confirmed, confirmed)
		for now := confirmed; now.Before(at(60000)); now = d.askAt {
			is.True(d.ask(now))
			d.observe(statement.Statement{Closes: true, Health: true}, now, now)
			d.asked(now)
			is.True(d.askAt.Sub(now) <= 2*time.Second)
		}
	})
	t.Run("an answer that was asked for after another instance's word takes it back", func(t *testing.T) {
		is := is.New(t)
		d := &departure{}
		sign(d, 0, 10)
		confirm(d, 11, 20)
		d.tell(toldLifetime, at(30))
		none(d, 29, 40) // sent before the word came
		is.True(d.leaves(at(40)))
		none(d, 41, 50)
		is.True(!d.leaves(at(50)))
	})
	t.Run("an endpoint that stays after all gets work again", func(t *testing.T) {
		is := is.New(t)
		d := &departure{}
		sign(d, 0, 10)
		confirm(d, 11, 20)
		none(d, 21, 30)
		is.True(!d.leaves(at(30)))
	})
	t.Run("a doubt that is not ended in time counts", func(t *testing.T) {
		is := is.New(t)
		d := &departure{}
		sign(d, 0, 10)
		d.expire(time.Second, at(1009))
		is.True(d.doubted())
		d.expire(time.Second, at(1010))
		is.True(d.leaves(at(1010)))
	})
	t.Run("another process at the address needs no confirmation", func(t *testing.T) {
		is := is.New(t)
		d := &departure{}
		d.observe(statement.Statement{Replaced: true}, at(0), at(10))
		is.True(d.leaves(at(10)))
	})
	t.Run("questions are asked at once, then more and more seldom", func(t *testing.T) {
		is := is.New(t)
		d := &departure{}
		is.True(!d.ask(at(0)))
		sign(d, 0, 10)
		is.True(d.ask(at(10)))
		is.True(!d.ask(at(11))) // one at a time
		pause, now := time.Duration(0), at(20)
		for range 12 {
			d.asked(now)
			next := d.askAt.Sub(now)
			is.True(next >= pause && next <= longestQuestionPause)
			pause, now = next, d.askAt
			is.True(d.ask(now))
		}
		is.Equal(pause, longestQuestionPause)
	})
}
