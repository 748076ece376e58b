package catalogue

import (
	"fmt"
	"strings"
	"time"
)

// FormatEntry returns the entry as an INI file that ParseFile parses back into the same entry.
func FormatEntry(e *Entry) string {
	w := &iniWriter{}
	w.section("entry")
	w.text("name", e.Name)
	w.text("owner", e.Owner)
	w.text("kind", string(e.Kind))
	w.text("class", e.Class)
	w.number("priority", e.Priority)
	w.text("workspaces", strings.Join(e.Workspaces, ", "))
	w.text("model", e.Model)
	w.text("version", e.Version)
	w.text("adapters", strings.Join(e.Adapters, ", "))
	w.flag("repeatable", e.Repeatable)
	w.flag("checksFence", e.ChecksFence)
	w.number("minimumReady", e.MinimumReady)
	w.text("keyRule", string(e.KeyRule))
	w.duration("queueTimeout", e.QueueTimeout)
	w.duration("answerTimeout", e.AnswerTimeout)
	w.number("maximumTokens", e.MaximumTokens)
	w.limits(e.Limits)
	for _, p := range e.Endpoints {
		w.section("endpoint " + p.Address.String())
		w.text("dataCentre", p.DataCentre)
		w.text("role", p.Role)
		w.flag("leaving", p.Leaving)
	}
	return w.String()
}

// FormatWorkspace returns the workspace as an INI file that ParseFile parses back into the same workspace.
func FormatWorkspace(x *Workspace) string {
	w := &iniWriter{}
	w.section("workspace")
	w.text("name", x.Name)
	w.text("owner", x.Owner)
	w.text("keyHashes", strings.Join(x.KeyHashes, ", "))
	w.limits(x.Limits)
	return w.String()
}

// iniWriter writes INI text and omits fields with a zero value.
type iniWriter struct {
	strings.Builder
}

func (w *iniWriter) section(name string) {
	if w.Len() > 0 {
		_ = w.WriteByte('\n')
	}
	_, _ = fmt.Fprintf(w, "[%s]\n", name)
}

func (w *iniWriter) text(field, value string) {
	if value != "" {
		_, _ = fmt.Fprintf(w, "%s = %s\n", field, value)
	}
}

func (w *iniWriter) number(field string, value int) {
	if value != 0 {
		_, _ = fmt.Fprintf(w, "%s = %d\n", field, value)
	}
}

func (w *iniWriter) flag(field string, value bool) {
	if value {
		w.text(field, "true")
	}
}

func (w *iniWriter) duration(field string, value time.Duration) {
	if value != 0 {
		w.text(field, value.String())
	}
}

func (w *iniWriter) limits(l Limits) {
	w.number("concurrency", l.Concurrency)
	w.number("requestsPerSecond", l.RequestsPerSecond)
	w.number("tokensPerSecond", l.TokensPerSecond)
}
