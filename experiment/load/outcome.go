package load

import (
	"encoding/json"
	"time"
)

// Outcome is how a request ended, as the caller saw it.
type Outcome string

// The outcomes; the first four are an instance's own words.
const (
	OutcomeFinished    Outcome = "finished"
	OutcomeNotRun      Outcome = "notRun"
	OutcomeUnknown     Outcome = "unknown"
	OutcomeInterrupted Outcome = "interrupted"
	OutcomeCut         Outcome = "cut"        // the connection ended and could not be resumed
	OutcomeUnreached   Outcome = "unreached"  // no connection to the instance
	OutcomeMalformed   Outcome = "malformed"  // a reply outside the protocol, such as an error without an outcome
	OutcomeUnfinished  Outcome = "unfinished" // still open when the run ended
)

// outcomes lists all outcomes in the order of reports.
func outcomes() []Outcome {
	return []Outcome{
		OutcomeFinished, OutcomeNotRun, OutcomeUnknown, OutcomeInterrupted,
		OutcomeCut, OutcomeUnreached, OutcomeMalformed, OutcomeUnfinished,
	}
}

// Result is what came of one request.
type Result struct {
	Request    *Request
	Repeat     bool // the second sending of a call
	Outcome    Outcome
	Reason     string // error code of a refusal, or what failed
	Answer     string // answer id, for generations
	Body       []byte // reply of a call
	Text       Verdict
	Resumes    int
	FirstToken time.Duration // from when the request was due; zero: none came
	Total      time.Duration // from when the request was due
	Stall      time.Duration // sum of what the waits between tokens exceeded the profile's bound by
}

// failure is OpenAI's error object with the outcome beside it.
type failure struct {
	Message string  `json:"message"`
	Code    string  `json:"code"`
	Type    string  `json:"type"`
	Outcome Outcome `json:"outcome"`
}

// refuse takes the outcome from the body of an error reply.
func (r *Result) refuse(status int, body []byte) {
	var reply struct {
		Error failure `json:"error"`
	}
	if err := json.Unmarshal(body, &reply); err != nil || reply.Error.Outcome == "" {
		r.Outcome = OutcomeMalformed
		r.Reason = statusReason(status)
		return
	}
	r.fail(&reply.Error)
}

func (r *Result) fail(f *failure) {
	switch f.Outcome {
	case OutcomeNotRun, OutcomeUnknown, OutcomeInterrupted:
		r.Outcome = f.Outcome
	default:
		r.Outcome = OutcomeMalformed
	}
	r.Reason = f.Code
	if r.Reason == "" {
		r.Reason = f.Type
	}
}
