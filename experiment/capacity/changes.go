package capacity

import (
	"context"
	"fmt"
	"time"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/record"
)

func catalogueProbes() []Probe {
	const source = "state/catalogue"
	return []Probe{
		{Name: "changeBytes", Item: "endpoint in a change of an entry", Unit: "bytes", Source: source, Sizes: []int{16, 32, 64, 128}, Cost: changeBytes},
		{Name: "applyTime", Item: "change folded and put in force, 1,400 workspaces and 40 entries", Unit: "µs", Source: source, Sizes: []int{20, 40, 80, 160}, Cost: applyTime},
		{Name: "snapshotEntryBytes", Item: "entry with 115 endpoints in a snapshot", Unit: "bytes", Source: source, Sizes: []int{5, 10, 20, 40}, Cost: snapshotEntryBytes},
		{Name: "snapshotWorkspaceBytes", Item: "workspace with 2 keys in a snapshot", Unit: "bytes", Source: source, Sizes: []int{175, 350, 700, 1400}, Cost: snapshotWorkspaceBytes},
		{Name: "entryMemory", Item: "entry with 115 endpoints in a table", Unit: "bytes", Source: source, Sizes: []int{5, 10, 20, 40}, Cost: entryMemory},
		{Name: "workspaceMemory", Item: "workspace with 2 keys in a table", Unit: "bytes", Source: source, Sizes: []int{175, 350, 700, 1400}, Cost: workspaceMemory},
	}
}

// entryEndpoints is the mean number of endpoints of an entry at the size to design for.
const entryEndpoints = designEndpoints / designEntries

func changeBytes(_ context.Context, size int, _ uint64) (float64, error) {
	data, err := catalogue.Encode(catalogue.Record{Change: entryChange(0, size, 0)})
	return float64(len(data)), err
}

func entryChange(number, endpoints int, seen uint64) *catalogue.Change {
	e := &catalogue.Entry{
		Name: fmt.Sprintf("entry%04d", number), Owner: "islaget", Kind: catalogue.KindEngine, Class: "assessment",
		Model: "assessment-large", Version: "2026-11-30", Repeatable: true, MinimumReady: endpoints / 2,
		QueueTimeout: 20 * time.Second, AnswerTimeout: 10 * time.Minute, MaximumTokens: 16_000,
	}
	for i := range endpoints {
		e.Endpoints = append(e.Endpoints, catalogue.Endpoint{Address: addressOf(number*entryEndpoints + i), DataCentre: "lulea-a"})
	}
	return &catalogue.Change{ID: fmt.Sprintf("%032x", seen), Operator: "islaget", Seen: seen, Entry: e}
}

func workspaceChange(number int, seen uint64) *catalogue.Change {
	w := &catalogue.Workspace{Name: fmt.Sprintf("workspace%04d", number), Owner: "islaget"}
	w.Limits = catalogue.Limits{Concurrency: 200, RequestsPerSecond: 100, TokensPerSecond: 10_000}
	for i := range 2 {
		w.KeyHashes = append(w.KeyHashes, catalogue.HashKey(fmt.Sprintf("%d/%d", number, i)))
	}
	return &catalogue.Change{ID: fmt.Sprintf("%032x", seen), Operator: "islaget", Seen: seen, Workspace: w}
}

// tableOf returns a table with so many entries and workspaces.
func tableOf(entries, workspaces int) (*catalogue.Table, error) {
	t := catalogue.NewTable(catalogue.Rules{})
	for i := range entries {
		if err := fold(t, entryChange(i, entryEndpoints, t.Offset())); err != nil {
			return nil, err
		}
	}
	for i := range workspaces {
		if err := fold(t, workspaceChange(i, t.Offset())); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func fold(t *catalogue.Table, c *catalogue.Change) error {
	data, err := catalogue.Encode(catalogue.Record{Change: c})
	if err != nil {
		return err
	}
	return applyData(t, data)
}

func applyData(t *catalogue.Table, data []byte) error {
	verdicts, err := t.ApplyAll([]record.Record{{Offset: t.Offset() + 1, Data: data}})
	if err != nil {
		return err
	}
	if verdicts[0].Refused() {
		return fmt.Errorf("change refused: %s", verdicts[0].Reason)
	}
	return nil
}

// applyTime folds changes of existing entries into a table of the size to design for.
func applyTime(_ context.Context, size int, _ uint64) (float64, error) {
	t, err := tableOf(designEntries, designWorkspaces)
	if err != nil {
		return 0, err
	}
	return processorCost(func() error {
		for i := range size {
			c := entryChange(i%designEntries, entryEndpoints, t.Offset())
			subject, _ := c.Subject()
			c.Base = t.View().RevisionOf(subject)
			if err := fold(t, c); err != nil {
				return err
			}
		}
		return nil
	})
}

func snapshotEntryBytes(_ context.Context, size int, _ uint64) (float64, error) {
	return snapshotBytes(size, 0)
}

func snapshotWorkspaceBytes(_ context.Context, size int, _ uint64) (float64, error) {
	return snapshotBytes(0, size)
}

func snapshotBytes(entries, workspaces int) (float64, error) {
	t, err := tableOf(entries, workspaces)
	if err != nil {
		return 0, err
	}
	s, err := t.Snapshot()
	if err != nil {
		return 0, err
	}
	data, err := catalogue.Encode(catalogue.Record{Snapshot: s})
	return float64(len(data)), err
}

func entryMemory(_ context.Context, size int, _ uint64) (float64, error) {
	return heapCost(func() (any, error) { return tableOf(size, 0) })
}

func workspaceMemory(_ context.Context, size int, _ uint64) (float64, error) {
	return heapCost(func() (any, error) { return tableOf(0, size) })
}
