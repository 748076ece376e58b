package workspace

const (
	burstSeconds    = 1.0  // seconds of its rate that a workspace may use at once
	minimumBurst    = 1.0  // requests that may arrive at once under any limit
	maximumAccounts = 4096 // number of accounts above which idle ones are dropped
)
