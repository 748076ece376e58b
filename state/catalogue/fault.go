package catalogue

import "dogwooddyke/state/settings"

// Fault is one reason why an entry, a workspace or a file is not valid.
type Fault = settings.Fault

// Faults lists the reasons why an entry, a workspace or a file is not valid.
type Faults = settings.Faults
