package resumption

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"dogwooddyke/state/stream"
)

// ask asks instances for the beginning of a stream until one knows it, all have answered, or none answers any more. It returns the beginning, nil if
// there is none, and what those know of the service's versions that have answered.
func (x *Exchange) ask(ctx context.Context, id stream.ID, service string, others []netip.AddrPort) (*Record, []View) {
	question, answers := x.open(id, service, len(others))
	defer x.close(question.Number)
	data := x.codec.Encode(question)
	if data == nil {
		return nil, nil
	}
	var views []View
	silent := slices.Clone(others)
	for attempt := 0; attempt < askAttempts && len(silent) > 0; attempt++ {
		for _, to := range silent {
			x.config.Network.SendStreamQuestion(to, data)
		}
		found, ended := x.await(ctx, answers, &silent, &views)
		if found != nil || ended {
			return found, views
		}
	}
	return nil, views
}

// await takes answers until one has the beginning, no instance is silent any more, or the time for an attempt is over; ended says that the context is.
func (x *Exchange) await(ctx context.Context, answers <-chan *Answer, silent *[]netip.AddrPort, views *[]View) (found *Record, ended bool) {
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	for len(*silent) > 0 {
		select {
		case <-ctx.Done():
			return nil, true
		case <-timer.C:
			return nil, false
		case a := <-answers:
			if a.Record != nil {
				return a.Record, false
			}
			at := slices.Index(*silent, a.From)
			if at < 0 {
				continue // its answer to the question as first sent was late
			}
			*silent = slices.Delete(*silent, at, at+1)
			*views = append(*views, View{Versions: a.Versions, Fresh: a.Fresh, Span: a.Span})
		}
	}
	return nil, false
}

// open returns a question, and where its answers arrive.
func (x *Exchange) open(id stream.ID, service string, others int) (*Question, chan *Answer) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.number++
	answers := make(chan *Answer, others*askAttempts)
	x.waiting[x.number] = answers
	return &Question{From: x.config.Self, Number: x.number, Stream: id, Service: service}, answers
}

func (x *Exchange) close(number uint64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	delete(x.waiting, number)
}
