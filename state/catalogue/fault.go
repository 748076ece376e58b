package catalogue

import "dogwooddyke/state/settings"

// Fault is one reason why content is not valid.
type Fault = settings.Fault

// Faults is every reason why content is not valid.
type Faults = settings.Faults
