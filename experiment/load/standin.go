package load

import (
	"strconv"

	"dogwooddyke/standin"
)

// StandinVersion is the model version that stand-in engines have to run for their texts to be checked.
const StandinVersion = "1"

// maximumAttempts bounds the generations that one answer may have been tried with.
const maximumAttempts = 10

// StandinCandidates returns what stand-in engines without a name generate: one text where they decode repeatably, else
// one for each attempt.
func StandinCandidates(r *Request, answer string) []Sequence {
	sequences := []Sequence{standin.NewText(StandinVersion, r.Seed, r.Prompt, "")}
	for attempt := range maximumAttempts {
		salt := "/" + answer + "." + strconv.Itoa(attempt)
		sequences = append(sequences, standin.NewText(StandinVersion, r.Seed, r.Prompt, salt))
	}
	return sequences
}
