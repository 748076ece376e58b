package endpoint

import (
	"io"
	"net/http"

	"dogwooddyke/protocol/answer"
)

// refusal reads what an endpoint says in place of a run, and closes the body.
func refusal(response *http.Response) *answer.RefusedError {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumErrorBytes))
	if err != nil {
		body = nil
	}
	return &answer.RefusedError{Status: response.StatusCode, Body: body}
}
