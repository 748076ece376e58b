// Package control measures the control plane: how soon and how surely catalogue changes take hold while instances come and
// go, and what control costs each instance by size of the fleet.
package control
