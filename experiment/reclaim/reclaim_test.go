package reclaim

import (
	"testing"

	"github.com/matryer/is"
)

// Engines with four runs on average are reclaimed 400 times: twenty minutes of the users' days.
func TestPolicies(t *testing.T) {
	is := is.New(t)
	kept := make(map[string]float64)
	for _, r := range Run(&Options{Reclaims: 400, Seed: 1, Means: []float64{4}}) {
		kept[r.Policy] = r.Outcome.Share(r.Outcome.Kept)
	}
	t.Log(kept)
	is.True(kept["dogwooddyke"] > kept["spaced"])
	is.True(kept["spaced"] > kept["atOnce"])
	is.True(kept["clairvoyant"] >= kept["dogwooddyke"])
	is.True(1-kept["dogwooddyke"] < (1-kept["atOnce"])/2) // the target: half of what is lost or late without turns
}
