// Package handover determines in which order and when the instances copy their runs off an endpoint that is leaving.
package handover
