package workspace

const (
	burstSeconds    = 1.0  // capacity of a bucket, in seconds of its rate; a workspace may use it at once
	minimumBurst    = 1.0  // smallest capacity of a bucket; requests that may start at once under any limit
	maximumAccounts = 4096 // number of accounts above which idle ones are dropped
)
