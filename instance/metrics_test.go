package instance

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestMetrics(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0, 2)
	assertWhole(t, readEvents(f.post(0, longQuestion).Body, 1<<20))
	f.await("control traffic", func() bool { return f.instances[0].node.Traffic().CallsIn.Load() > 0 })
	families, err := f.instances[0].metrics.registry.Gather()
	is.NoErr(err)
	found := map[string]bool{}
	for _, m := range families {
		found[m.GetName()] = true
	}
	for _, name := range []string{
		"first_token_seconds", "between_tokens_seconds", "answer_seconds", "queue_seconds", "requests_ended_total",
		"answer_transitions_total", "events_total", "control_calls_total", "control_bytes_total", "members_live", "catalogue_offset",
	} {
		if !found[namespace+"_"+name] {
			t.Errorf("no metric %s", name)
		}
	}
	for name := range found {
		is.True(strings.HasPrefix(name, namespace) || strings.HasPrefix(name, "go_") || strings.HasPrefix(name, "process_"))
	}
}

func TestLabels(t *testing.T) {
	is := is.New(t)
	l := newLabels(2)
	is.Equal(l.of("a"), "a")
	is.Equal(l.of("b"), "b")
	is.Equal(l.of("c"), otherLabel)
	is.Equal(l.of("a"), "a")
}
