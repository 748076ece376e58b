// Package bench compares policies of routing on modelled engines, in synthetic time and with fixed seeds.
package bench
