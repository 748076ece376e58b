package roster

import "time"

// Notice says whether and when an endpoint has begun to leave or is gone. It is safe for concurrent use.
type Notice struct {
	done chan struct{} // closed once at is set
	at   time.Time
}

func newNotice() *Notice { return &Notice{done: make(chan struct{})} }

// Done returns a channel that is closed once the endpoint is leaving or gone.
func (n *Notice) Done() <-chan struct{} { return n.done }

// At returns the time since which the endpoint is known to be leaving or gone; zero if it is neither.
func (n *Notice) At() time.Time {
	if !n.isGiven() {
		return time.Time{}
	}
	return n.at
}

func (n *Notice) isGiven() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// give records the time and closes the channel, once; the caller holds the mutex of the table.
func (n *Notice) give(at time.Time) {
	if n.isGiven() {
		return
	}
	n.at = at
	close(n.done)
}
