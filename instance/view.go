package instance

import (
	"dogwooddyke/state/catalogue"
	"dogwooddyke/transport/peer"
)

// View returns the catalogue that requests are routed by, or nil while there is none.
func (i *Instance) View() *catalogue.View {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.view
}

// Traffic gives the counters of what passes between this instance and others.
func (i *Instance) Traffic() *peer.Traffic { return i.node.Traffic() }
