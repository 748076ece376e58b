// Package catalogue holds the entries and workspaces that operators publish, and folds the log of changes into them.
package catalogue
