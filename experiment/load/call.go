package load

import (
	"context"
	"net/http"
	"time"
)

// call sends a request to a plain service; without a key it is a look-up.
func (c *client) call(ctx context.Context, r *Request, target int, due time.Time) *Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result := &Result{Request: r}
	response, err := c.send(ctx, r, target, "/call/"+r.Mix.Entry+"/"+r.Mix.Path)
	if err != nil {
		result.unanswered(err)
		return result
	}
	defer response.Body.Close()
	body, err := readBody(response)
	result.Total = time.Since(due)
	if err != nil {
		result.unanswered(err)
		return result
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		result.refuse(response.StatusCode, body)
		return result
	}
	result.Outcome = OutcomeFinished
	result.Body = body
	return result
}
