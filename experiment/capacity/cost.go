package capacity

import "fmt"

// Cost is one line of a role: what a node spends on it at the size to design for.
type Cost struct {
	Role      string  `json:"role"`
	What      string  `json:"what"`
	Reckoning string  `json:"reckoning"` // how it follows from the slopes
	Bytes     float64 `json:"bytes"`     // a second, in and out
	Processor float64 `json:"processor"` // microseconds a second
	Memory    float64 `json:"memory"`    // bytes
}

// Slopes is all that was measured.
type Slopes []*Slope

// find returns the slope of that name; an unknown one is a fault of this program.
func (s Slopes) find(name string) *Slope {
	for _, each := range s {
		if each.Name == name {
			return each
		}
	}
	panic("no slope " + name)
}

// each returns the cost of one more item, divided by what a measurement repeated.
func (s Slopes) each(name string, repeated float64) float64 {
	return s.find(name).PerItem / repeated
}

// base returns the cost without items, divided by what a measurement repeated.
func (s Slopes) base(name string, repeated float64) float64 {
	return max(0, s.find(name).Base) / repeated
}

func reckon(format string, parts ...any) string {
	return fmt.Sprintf(format, parts...)
}

// total sums up the lines of all roles.
func total(costs []Cost) Cost {
	sum := Cost{Role: "sum"}
	for _, c := range costs {
		sum.Bytes += c.Bytes
		sum.Processor += c.Processor
		sum.Memory += c.Memory
	}
	return sum
}
