package control

import (
	"fmt"
	"strings"

	"dogwooddyke/experiment/capacity"
)

// Table returns the slopes as a Markdown table, with what follows for a size.
func Table(slopes []*capacity.Slope, size int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| cost of one instance | unit | base | per instance in the fleet (least to most) | at %d instances |\n|---|---|---|---|---|\n", size)
	for _, s := range slopes {
		fmt.Fprintf(&b, "| %s | %s | %.4g | %.4g (%.4g to %.4g) | %.4g |\n", s.Name, s.Unit, s.Base, s.PerItem, s.Least, s.Most, s.Base+s.PerItem*float64(size))
	}
	b.WriteString("\n| cost of one instance | size | measured |\n|---|---|---|\n")
	for _, s := range slopes {
		for _, x := range s.Samples {
			fmt.Fprintf(&b, "| %s | %d | %.4g |\n", s.Name, x.Size, x.Cost)
		}
	}
	return b.String()
}
