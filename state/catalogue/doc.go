// Package catalogue holds the entries and workspaces that operators publish; its state is a fold over the log of their changes.
package catalogue
