// Package workspace accounts for the tokens served to each workspace, and enforces the limits of each workspace.
package workspace
