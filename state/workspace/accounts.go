package workspace

// Accounts counts the tokens served to each workspace, so that the least served one goes first.
type Accounts struct {
	accounts map[string]*Account
	floor    float64 // least count of the workspaces in use, when last known
}

// Account is the count of one workspace.
type Account struct {
	Served float64 // tokens, lifted to the least of the others after being idle
	uses   int     // requests queued or running
}

// NewAccounts returns a service without accounts.
func NewAccounts() *Accounts {
	return &Accounts{accounts: make(map[string]*Account)}
}

// Begin notes a request of the workspace and returns its account; one that was idle is lifted to the least of those in use.
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

// End notes the end of a request that entered.
func (s *Accounts) End(a *Account) { a.uses-- }

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
