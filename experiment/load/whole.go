package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const (
	chatPath     = "/v1/chat/completions"
	answerHeader = "Answer-Id"
)

// whole sends a request for an answer in one piece.
func (c *client) whole(ctx context.Context, r *Request, due time.Time) *Result {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	result := &Result{Request: r}
	response, err := c.send(ctx, r, r.Target, chatPath)
	if err != nil {
		result.unanswered(err)
		return result
	}
	defer response.Body.Close()
	body, err := readBody(response)
	result.Total = time.Since(due)
	result.Answer = response.Header.Get(answerHeader)
	if err != nil {
		result.unanswered(err)
		return result
	}
	if response.StatusCode != http.StatusOK {
		result.refuse(response.StatusCode, body)
		return result
	}
	c.completion(result, body)
	return result
}

// completion checks the text of a whole answer.
func (c *client) completion(result *Result, body []byte) {
	var reply struct {
		Choices []struct {
			Message message `json:"message"`
			Finish  string  `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(body, &reply); err != nil || len(reply.Choices) != 1 || reply.Choices[0].Finish == "" {
		result.Outcome = OutcomeMalformed
		result.Reason = "not a completion"
		return
	}
	v := newVerifier(result.Request, c.candidates(result.Request, result.Answer))
	v.text(reply.Choices[0].Message.Content)
	result.Text = v.end(true)
	result.Outcome = OutcomeFinished
	result.FirstToken = result.Total
}
