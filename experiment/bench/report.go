package bench

import (
	"fmt"
	"io"
	"strings"
)

// Report writes the results as a markdown page; command and date head it.
func Report(w io.Writer, suite *Suite, groups []Group, command, date string) {
	fmt.Fprintf(w, "# Policies of routing, compared\n\nCommand: `%s`. Date: %s. Seeds: %s; %s of synthetic time each, the first quarter not measured.\n\n",
		command, date, strings.Trim(fmt.Sprint(suite.Seeds), "[]"), suite.Span)
	name := ""
	for i := range groups {
		g := &groups[i]
		if g.Scenario.Deployment != name {
			name = g.Scenario.Deployment
			fmt.Fprintf(w, "## %s\n\nCapacity (goodput of the clairvoyant policy at saturation): %s tokens/s by service, %s requests/s.\n\n",
				name, figures(g.Capacity.Tokens, "%.0f"), figures(g.Capacity.Rates, "%.1f"))
		}
		fmt.Fprintf(w, "### %s\n\n", g.Scenario.String())
		Header(w)
		for n := range g.Results {
			Row(w, &g.Results[n], g.Capacity.Total())
		}
		fmt.Fprintln(w)
	}
}

func figures(values []float64, format string) string {
	parts := make([]string, 0, len(values))
	for _, v := range values {
		parts = append(parts, fmt.Sprintf(format, v))
	}
	return strings.Join(parts, " + ")
}
