package capacity

import (
	"fmt"
	"strings"
)

func (s Slopes) table() string {
	var b strings.Builder
	b.WriteString("| slope | for each | cost | least to most | sizes | package |\n|---|---|---|---|---|---|\n")
	for _, each := range s {
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s to %s | %s | %s |\n", each.Name, each.Item, figure(each.PerItem), each.Unit,
			figure(each.Least), figure(each.Most), sizes(each.Sizes), each.Source)
	}
	return b.String()
}

func costTable(costs []Cost) string {
	var b strings.Builder
	b.WriteString("| role | what | reckoning | bytes/s | µs of processor/s | memory, bytes |\n|---|---|---|---|---|---|\n")
	for _, c := range costs {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", c.Role, c.What, c.Reckoning, figure(c.Bytes), figure(c.Processor), figure(c.Memory))
	}
	return b.String()
}

// budgetTable sets the sum of all roles beside the budget, line by line the worst first.
func budgetTable(sum Cost) string {
	var b strings.Builder
	b.WriteString("| | sum of all roles on one node | budget | fits |\n|---|---|---|---|\n")
	for _, row := range []struct {
		name         string
		spent, limit float64
		unit         string
	}{
		{"traffic", sum.Bytes, budgetBytes, "bytes/s"},
		{"processor", sum.Processor / 1e6 * 100, budgetProcessor * 100, "% of a core"},
		{"memory", sum.Memory / 1e6, budgetMemory / 1e6, "MB"},
	} {
		fits := "yes"
		if row.spent > row.limit {
			fits = fmt.Sprintf("**no**, %.1f times over", row.spent/row.limit)
		}
		fmt.Fprintf(&b, "| %s | %s %s | %s %s | %s |\n", row.name, figure(row.spent), row.unit, figure(row.limit), row.unit, fits)
	}
	return b.String()
}

func platformTable(lines []Platform) string {
	var b strings.Builder
	b.WriteString("| service | what | reckoning | calls/s | bytes/s |\n|---|---|---|---|---|\n")
	for _, p := range lines {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", p.Service, p.What, p.Reckoning, figure(p.Calls), figure(p.Bytes))
	}
	return b.String()
}

func eventTable(events []DayEvents) string {
	var b strings.Builder
	b.WriteString("| in a day | reckoning | count |\n|---|---|---|\n")
	for _, e := range events {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", e.What, e.Reckoning, figure(e.Count))
	}
	return b.String()
}

// dataTable gives what serving itself costs, which the budget for control leaves out.
func (s Slopes) dataTable() string {
	var b strings.Builder
	requests := s.each("requestTime", workSeconds)
	tokens := s.each("tokenTime", workRate*workSeconds)
	b.WriteString("| serving | reckoning | of a core | memory, MB |\n|---|---|---|---|\n")
	fmt.Fprintf(&b, "| requests | %.1f a second × %s µs, %d tokens in it | %s%% | |\n", nodeRequests, figure(requests), workTokens, figure(nodeRequests*requests/1e4))
	fmt.Fprintf(&b, "| further tokens | %.0f a second × %s µs | %s%% | |\n", nodeTokens, figure(tokens), figure(nodeTokens*tokens/1e4))
	fmt.Fprintf(&b, "| open answers | %.0f × %s bytes | | %s |\n", openAnswers(), figure(s.each("streamMemory", 1)), figure(openAnswers()*s.each("streamMemory", 1)/1e6))
	return b.String()
}

// figure gives three significant digits, without an exponent.
func figure(value float64) string {
	switch {
	case value == 0:
		return "0"
	case value >= 100 || value <= -100:
		return fmt.Sprintf("%.0f", value)
	case value >= 10 || value <= -10:
		return fmt.Sprintf("%.1f", value)
	default:
		return fmt.Sprintf("%.3g", value)
	}
}

func sizes(list []int) string {
	return strings.Trim(strings.ReplaceAll(fmt.Sprint(list), " ", ", "), "[]")
}
