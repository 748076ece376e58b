// Package evacuation holds which data centres the operators have ordered to be evacuated: no request is sent to the endpoints there until the order
// is withdrawn. What endpoints there have begun, they finish.
package evacuation
