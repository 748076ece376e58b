// Package settings reads INI files whole, so that one run lists every fault with file, section, field and reason.
package settings
