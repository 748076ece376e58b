package hosted

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"dogwooddyke/internal/wait"
)

// registration is the log's record of an instance; the record's key is the instance's name.
type registration struct {
	Address netip.AddrPort `json:"address"` // at which the instance receives reports
	At      time.Time      `json:"at"`      // when the instance registered
}

// register registers this instance in the log and adds the registered instances as peers, and does so again each time the log was restored
// from an older copy, which may lack the registration. An instance that registers later becomes known by its reports.
func (i *Instance) register(ctx context.Context) {
	for ctx.Err() == nil {
		era := i.registerUntilDone(ctx)
		for i.log.Era() <= era {
			select {
			case <-i.restored:
			case <-ctx.Done():
				return
			}
		}
		_ = wait.For(ctx, rand.N(registerSpread)) // an ended context ends the loop
	}
}

// registerUntilDone tries to register until that succeeds, and returns the era in which the log has taken the registration.
func (i *Instance) registerUntilDone(ctx context.Context) int64 {
	for failures := 0; ctx.Err() == nil; failures++ {
		era, err := i.registerOnce(ctx)
		if err == nil {
			return era
		}
		if failures == 0 {
			i.logger.Warn("could not register in the log", "error", err.Error())
		}
		_ = wait.For(ctx, wait.Jitter(registerRetryPause)) // an ended context ends the loop
	}
	return 0
}

// registerOnce makes one attempt to register and returns the era in which the log has taken the registration.
func (i *Instance) registerOnce(ctx context.Context) (int64, error) {
	value, err := json.Marshal(registration{Address: i.gossiper.self, At: time.Now()})
	if err != nil {
		return 0, err
	}
	written, err := i.log.Put(ctx, topicInstances, i.settings.Name, value)
	if err != nil {
		return 0, err
	}
	records, _, err := i.log.Newest(ctx, topicInstances)
	if err != nil {
		return 0, err
	}
	addresses := make([]netip.AddrPort, 0, len(records))
	for _, r := range records {
		var other registration
		if err := json.Unmarshal(r.Value, &other); err != nil {
			i.observer.recordUnreadable(r.Key, err)
			continue
		}
		addresses = append(addresses, other.Address)
	}
	i.gossiper.addPeers(addresses)
	i.othersListed.Store(true)
	i.registeredOnce.Do(func() { close(i.registered) })
	i.gossiper.reportSoon()
	i.logger.Info("registered", "instances", len(addresses), "era", written.Era)
	return written.Era, nil
}
