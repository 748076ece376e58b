// Package settings reads INI files and collects all faults of a file in one pass, each with file, section, field and reason.
package settings
