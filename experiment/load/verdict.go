package load

// Verdict counts what is wrong with the tokens of one answer.
type Verdict struct {
	Tokens  int `json:"tokens"`  // right ones, each counted once
	Lost    int `json:"lost"`    // skipped, or missing at the end of a finished answer
	Doubled int `json:"doubled"` // delivered again
	Crossed int `json:"crossed"` // of no token of this generation
}

// Wrong tells whether any token was lost, doubled or crossed.
func (v Verdict) Wrong() bool {
	return v.faults() > 0
}

func (v Verdict) faults() int {
	return v.Lost + v.Doubled + v.Crossed
}

// Add adds another answer's counts.
func (v *Verdict) Add(other Verdict) {
	v.Tokens += other.Tokens
	v.Lost += other.Lost
	v.Doubled += other.Doubled
	v.Crossed += other.Crossed
}
