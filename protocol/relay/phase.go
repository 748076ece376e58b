package relay

// Phase is how far a request was when it ended; it is a value of log lines.
type Phase string

// The phases of a request.
const (
	PhaseWaiting    Phase = "waiting"    // it waits for a slot
	PhaseSent       Phase = "sent"       // it has been sent to an endpoint, whose head has not come
	PhaseStreaming  Phase = "streaming"  // the endpoint's answer comes in
	PhaseBetween    Phase = "between"    // its stream has ended at one endpoint, and no other has taken the run yet
	PhaseDelivering Phase = "delivering" // the endpoint's answer is whole here, and its caller has not taken all of it
	PhaseDelivered  Phase = "delivered"  // the caller has been sent the whole answer
)

// pendingPhase returns the phase of a request that is at no endpoint.
func (x *execution) pendingPhase() Phase {
	if x.result.Begun {
		return PhaseBetween
	}
	return PhaseWaiting
}
