package workspace

// Accounts counts the tokens served to each workspace, so that the workspace that was served least goes first.
type Accounts struct {
	accounts map[string]*Account // by workspace
	floor    float64             // lowest count among the workspaces in use, when last computed
}

// Account counts the tokens served to one workspace.
type Account struct {
	Served float64 // tokens served, and tokens that running requests are charged in advance; raised to the lowest count of the others after idle time
	uses   int     // requests queued or running
}

// NewAccounts returns an empty set of accounts.
func NewAccounts() *Accounts {
	return &Accounts{accounts: make(map[string]*Account)}
}

// Begin records a new request of the workspace and returns the account of the workspace; the count of an idle workspace is raised to the
// lowest count among those in use, so that idle time earns no credit.
func (s *Accounts) Begin(name string) *Account {
	a := s.accounts[name]
	if a == nil {
		s.evict()
		a = &Account{}
		s.accounts[name] = a
	}
	if a.uses == 0 {
		a.Served = max(a.Served, s.least())
	}
	a.uses++
	return a
}

// End records the end of a request that was recorded by Begin.
func (s *Accounts) End(a *Account) { a.uses-- }

// least returns the lowest count among the workspaces in use, and never less than before.
func (s *Accounts) least() float64 {
	least, found := 0.0, false
	for _, a := range s.accounts {
		if a.uses > 0 && (!found || a.Served < least) {
			least, found = a.Served, true
		}
	}
	if found {
		s.floor = max(s.floor, least)
	}
	return s.floor
}

// evict makes room for an account by removing an idle one.
func (s *Accounts) evict() {
	if len(s.accounts) < maximumAccounts {
		return
	}
	for name, a := range s.accounts {
		if a.uses == 0 {
			delete(s.accounts, name)
			return
		}
	}
}
