// Package catalogue holds the entries and workspaces that operators publish. The state of the catalogue is a fold over the
// log of their changes.
package catalogue
