package instance

import (
	"context"
	"time"

	"dogwooddyke/coordination/member"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/protocol/answer"
	"dogwooddyke/state/explanation"
	"dogwooddyke/transport/platform"
)

// slots gives answers their places on endpoints and keeps the decisions for explanations.
type slots struct {
	instance *Instance
}

// Acquire waits for a place.
func (s *slots) Acquire(ctx context.Context, spec *routing.RequestSpec) (answer.Slot, error) {
	slot, err := s.instance.router.Acquire(ctx, spec)
	if err != nil {
		step := explanation.Step{At: time.Now(), Kind: "notAdmitted", Detail: err.Error()}
		s.instance.ring.Add(spec.ID, spec.Entry, step)
		return nil, err
	}
	decision := slot.Decision()
	s.instance.ring.Add(spec.ID, spec.Entry, explanation.Step{At: time.Now(), Kind: "admitted", Detail: slot.Endpoint().String(), Data: decision})
	return slot, nil
}

// roster reads the platform's list in the member table's terms.
type roster struct {
	client *platform.Roster
}

// Instances returns the list's rows.
func (r roster) Instances(ctx context.Context) ([]member.Row, error) {
	rows, err := r.client.Instances(ctx)
	if err != nil {
		return nil, err
	}
	listed := make([]member.Row, 0, len(rows))
	for _, w := range rows {
		listed = append(listed, member.Row{
			Address: w.Address, Kind: member.Kind(w.Kind), DataCentre: w.DataCentre, State: member.State(w.State),
		})
	}
	return listed, nil
}
