// Package workspace keeps what each workspace was served and what its limits leave it.
package workspace
