// Package operator serves operators over HTTP: health, metrics, status and explanations.
package operator
