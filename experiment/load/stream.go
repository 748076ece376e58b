package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/tmaxmax/go-sse"
)

// session reads one streamed answer over as many connections as it takes.
type session struct {
	client   *client
	result   *Result
	verifier *verifier
	due      time.Time
	previous time.Time // when the latest token came
	event    string    // id of the latest event: the resume token
	stop     bool      // a finish reason came
	done     bool      // the end of the stream came
	late     int       // tokens after the end
	gaps     []time.Duration
}

// chunk is one event of a streamed answer.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Error *failure `json:"error"`
}

// stream sends a request for a streamed answer and reads it to its end, on new connections where one is cut.
func (c *client) stream(ctx context.Context, r *Request, due time.Time) *Result {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	s := &session{client: c, result: &Result{Request: r}, due: due}
	s.run(ctx)
	s.flush()
	if s.verifier != nil {
		s.result.Text = s.verifier.end(s.result.Outcome == OutcomeFinished)
		s.result.Text.Doubled += s.late
	}
	s.result.Total = time.Since(due)
	return s.result
}

func (s *session) run(ctx context.Context) {
	target := s.result.Request.Target
	s.connect(ctx, target, s.start)
	for s.result.Outcome == OutcomeCut && s.event != "" && s.result.Resumes < maximumResumes {
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.client.resumeWait << s.result.Resumes):
		}
		target = s.client.balancer.pick((target + 1) % len(s.client.targets))
		s.result.Resumes++
		s.connect(ctx, target, s.resume)
	}
}

// opener sends the request that gives one connection's events.
type opener func(ctx context.Context, target int) (*http.Response, error)

func (s *session) start(ctx context.Context, target int) (*http.Response, error) {
	return s.client.send(ctx, s.result.Request, target, chatPath)
}

func (s *session) resume(ctx context.Context, target int) (*http.Response, error) {
	url := s.client.targets[target] + "/v1/answers/" + s.result.Answer
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+s.result.Request.Workspace.Key)
	request.Header.Set("Last-Event-ID", s.event)
	return s.client.http.Do(request)
}

// connect reads one connection to its end and sets the outcome so far.
func (s *session) connect(ctx context.Context, target int, open opener) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := open(ctx, target)
	if err != nil {
		s.lost(err)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		s.refused(response)
		return
	}
	if s.verifier == nil {
		s.result.Answer = response.Header.Get(answerHeader)
		s.verifier = newVerifier(s.result.Request, s.client.candidates(s.result.Request, s.result.Answer))
	}
	silence := time.AfterFunc(answerTimeout, cancel)
	defer silence.Stop()
	s.read(response, silence)
}

// read takes the events of one connection; a silent connection is cancelled.
func (s *session) read(response *http.Response, silence *time.Timer) {
	s.result.Outcome = OutcomeCut
	s.result.Reason = "connection lost"
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maximumEventSize}) {
		if err != nil {
			break
		}
		silence.Reset(silenceTimeout)
		if event.LastEventID != "" {
			s.event = event.LastEventID
		}
		s.take(event.Data)
	}
}

// take handles the data of one event.
func (s *session) take(data string) {
	if data == "[DONE]" {
		s.finish()
		return
	}
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		s.result.Outcome = OutcomeMalformed
		s.result.Reason = "not a chunk"
		return
	}
	if c.Error != nil {
		s.result.fail(c.Error)
		return
	}
	if len(c.Choices) == 0 {
		return
	}
	if text := c.Choices[0].Delta.Content; text != "" {
		s.token(text)
	}
	if c.Choices[0].Finish != "" {
		s.stop = true
	}
}

func (s *session) finish() {
	if s.result.Outcome != OutcomeCut {
		return // the end after an error
	}
	if !s.stop {
		s.result.Outcome = OutcomeMalformed
		s.result.Reason = "end without a finish reason"
		return
	}
	s.done = true
	s.result.Outcome = OutcomeFinished
	s.result.Reason = ""
}

func (s *session) token(text string) {
	if s.done {
		s.late++
		return
	}
	s.verifier.token(text)
	now := time.Now()
	if s.previous.IsZero() {
		s.result.FirstToken = now.Sub(s.due)
	} else {
		s.gap(now.Sub(s.previous))
	}
	s.previous = now
}

func (s *session) gap(wait time.Duration) {
	s.result.Stall += max(0, wait-s.client.profile.StallBound)
	s.gaps = append(s.gaps, wait)
	if len(s.gaps) == gapBatch {
		s.flush()
	}
}

func (s *session) flush() {
	s.client.recorder.gaps(s.result.Request.Mix, s.gaps)
	s.gaps = s.gaps[:0]
}

// lost sets the outcome of a connection that failed before its reply.
func (s *session) lost(err error) {
	s.result.unanswered(err)
	if s.event != "" {
		s.result.Outcome = OutcomeCut
	}
}

// refused sets the outcome of a reply that is not a stream; a resumption that cannot be served now may be tried again.
func (s *session) refused(response *http.Response) {
	body, err := readBody(response)
	if err != nil {
		s.lost(err)
		return
	}
	if s.result.Answer == "" {
		s.result.Answer = response.Header.Get(answerHeader)
	}
	s.result.refuse(response.StatusCode, body)
	again := s.result.Outcome != OutcomeInterrupted && response.StatusCode == http.StatusServiceUnavailable
	if s.event != "" && again {
		s.result.Outcome = OutcomeCut
	}
}
