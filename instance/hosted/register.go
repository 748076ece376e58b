package hosted

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"dogwooddyke/internal/wait"
)

// registration is the log's record of an instance; the record's key is the instance's name.
type registration struct {
	Address netip.AddrPort `json:"address"` // at which the instance receives reports
	At      time.Time      `json:"at"`      // when the instance registered
}

// register registers this instance in the log and adds the registered instances as peers; it retries until that has succeeded. An
// instance that registers later becomes known by its reports.
func (i *Instance) register(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		if err := i.registerOnce(ctx); err == nil {
			return
		} else if failures == 0 {
			i.logger.Warn("could not register in the log", "error", err.Error())
		}
		_ = wait.For(ctx, wait.Jitter(registerRetryPause)) // an ended context ends the loop
	}
}

func (i *Instance) registerOnce(ctx context.Context) error {
	value, err := json.Marshal(registration{Address: i.gossiper.self, At: time.Now()})
	if err != nil {
		return err
	}
	if _, err := i.log.Put(ctx, topicInstances, i.settings.Name, value); err != nil {
		return err
	}
	records, _, err := i.log.Newest(ctx, topicInstances)
	if err != nil {
		return err
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
	i.gossiper.reportSoon()
	i.logger.Info("registered", "instances", len(addresses))
	return nil
}
