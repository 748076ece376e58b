package resumption

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOnlyVersion(t *testing.T) {
	const span = time.Minute
	long, short := 2*time.Minute, time.Second
	view := func(fresh bool, followed time.Duration, versions ...string) View {
		return View{Versions: versions, Fresh: fresh, Span: followed}
	}
	for _, c := range []struct {
		name      string
		own       View
		answers   []View
		hasOthers bool
		want      string
	}{
		{"one version", view(true, long, "v1"), nil, false, "v1"},
		{"two versions", view(true, long, "v1", "v2"), nil, false, ""},
		{"none", view(true, long), nil, false, ""},
		{"one that is not known", view(true, long, ""), nil, false, ""},
		{"an old list", view(false, long, "v1"), nil, false, ""},
		{"an old list, and another instance's new one", view(false, long, "v1"), []View{view(true, long, "v1")}, true, "v1"},
		{"an old list, and another instance's new one with another version", view(false, long, "v1"), []View{view(true, long, "v2")}, true, ""},
		{"an instance that has just started, alone", view(true, short, "v1"), nil, false, "v1"},
		{"an instance that has just started, and others don't answer", view(true, short, "v1"), nil, true, ""},
		{"an instance that has followed the list, and others don't answer", view(true, long, "v1"), nil, true, "v1"},
		{"all instances have just started", view(true, short, "v1"), []View{view(true, short, "v1"), view(true, short, "v1")}, true, "v1"},
		{"another instance remembers another version", view(true, short, "v2"), []View{view(true, long, "v1", "v2")}, true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			version, known := onlyVersion(c.own, c.answers, c.hasOthers, span)
			is.Equal(version, c.want)
			is.Equal(known, c.want != "")
		})
	}
}
