// Package capacity measures what each role of an instance costs per item and works out the cost at the size to design for.
package capacity
