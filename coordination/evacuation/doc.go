// Package evacuation determines the order and the times in which the instances copy their runs off an endpoint that is leaving.
package evacuation
