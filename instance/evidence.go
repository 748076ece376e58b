package instance

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"dogwooddyke/coordination/member"
	"dogwooddyke/transport/peer"
)

// evidence calls other instances and takes what comes of it as evidence for or against their life.
type evidence struct {
	node    *peer.Node
	members *member.Members
}

// Call calls a method of the other instance.
func (e evidence) Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	err := e.node.Call(ctx, to, method, params, result)
	switch {
	case err == nil || errors.Is(err, peer.ErrRemote):
		e.members.Seen(time.Now(), to)
	case errors.Is(ctx.Err(), context.Canceled):
		// Whoever asked lost interest, which says nothing of the other instance.
	case errors.Is(err, peer.ErrUnreachable) || errors.Is(err, peer.ErrNoAnswer):
		e.members.Suspect(time.Now(), to)
	}
	return err
}
