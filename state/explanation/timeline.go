package explanation

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maximumLineBytes is the longest line that Log.Read accepts, in bytes.
const maximumLineBytes = 1 << 20

// timelineMargin extends the time span of a request at both ends: its timeline includes the lines without an id that its instances
// logged in the extended span.
const timelineMargin = 3 * time.Second

// Line is one line of an instance's log; Fields holds the fields that have no struct field of their own.
type Line struct {
	At       time.Time
	Instance string
	Message  string
	Fields   map[string]any
}

// Text returns a field's value as text, or an empty string if the line has no such field.
func (l *Line) Text(field string) string {
	value, found := l.Fields[field]
	if !found {
		return ""
	}
	return fmt.Sprint(value)
}

// Log holds the lines of the logs of one or more instances.
type Log struct {
	lines   []Line
	Skipped int // number of input lines that are not valid log lines
}

// Read adds the lines of one instance's log; it ignores any prefix before the first opening brace of a line. The error is that of the
// reader, or says that a line is too long.
func (l *Log) Read(reader io.Reader) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maximumLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			l.Skipped++
			continue
		}
		l.lines = append(l.lines, line)
	}
	return scanner.Err()
}

func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	line := Line{}
	if err := json.Unmarshal(text[start:], &line.Fields); err != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, line.Text("time"))
	if err != nil {
		return Line{}, false
	}
	line.At, line.Instance, line.Message = at, line.Text("instance"), line.Text("msg")
	for _, known := range []string{"time", "instance", "msg", "level"} {
		delete(line.Fields, known)
	}
	return line, line.Message != ""
}

// Timeline returns the lines of a request in order of time: those with its id, and those without any id that its instances logged in
// the same time, extended by timelineMargin. The latter show changes of endpoints, of the platform's log and of the catalogue; those
// about endpoints that the request was not sent to are left out. The timeline is empty if no line has the request's id.
func (l *Log) Timeline(id string) []Line {
	var timeline []Line
	instances, endpoints := map[string]bool{}, map[string]bool{}
	for _, line := range l.lines {
		if line.Text("id") != id {
			continue
		}
		timeline = append(timeline, line)
		instances[line.Instance] = true
		endpoints[line.Text("endpoint")] = true
	}
	if len(timeline) == 0 {
		return nil
	}
	slices.SortStableFunc(timeline, func(a, b Line) int { return a.At.Compare(b.At) })
	from, to := timeline[0].At.Add(-timelineMargin), timeline[len(timeline)-1].At.Add(timelineMargin)
	delete(endpoints, "")
	for _, line := range l.lines {
		if line.Text("id") != "" || !instances[line.Instance] || line.At.Before(from) || line.At.After(to) {
			continue
		}
		if endpoint := line.Text("endpoint"); endpoint != "" && !endpoints[endpoint] {
			continue
		}
		timeline = append(timeline, line)
	}
	slices.SortStableFunc(timeline, func(a, b Line) int { return a.At.Compare(b.At) })
	return timeline
}

// Cause returns a sentence on why the request ended as it did, taken from the last line that reports its end, or an empty string if
// there is no such line.
func Cause(timeline []Line) string {
	for n := len(timeline) - 1; n >= 0; n-- {
		l := &timeline[n]
		switch l.Message {
		case "declined":
			return fmt.Sprintf("%s answered %s: %s", l.Instance, l.Text("status"), l.Text("reason"))
		case "ended":
			return describeEnd(l)
		}
	}
	return ""
}

func describeEnd(l *Line) string {
	text := fmt.Sprintf("%s: %s", l.Instance, l.Text("outcome"))
	if reason := l.Text("reason"); reason != "" {
		text += " (" + reason + ")"
	}
	if status := l.Text("status"); l.Text("outcome") == "failed" {
		text += " with status " + status
	}
	if endpoint := l.Text("endpoint"); endpoint != "" {
		text += fmt.Sprintf(" at endpoint %s after %s dispatches, %s moves, %s events", endpoint, l.Text("sent"), l.Text("moved"), l.Text("events"))
	}
	if cause := l.Text("error"); cause != "" {
		text += ": " + cause
	}
	return text + describePhase(l)
}

// describePhase says how far a request was that has no whole answer; lines of older instances do not tell.
func describePhase(l *Line) string {
	phase := l.Text("phase")
	if phase == "" || phase == "delivered" {
		return ""
	}
	text := "; " + phase
	if ago := l.Text("lastEventMs"); ago != "" && ago != "-1" {
		text += fmt.Sprintf(", last event %s ms before", ago)
	}
	if unsent := l.Text("unsentBytes"); unsent != "" && unsent != "0" {
		text += fmt.Sprintf(", %s bytes unsent", unsent)
	}
	return text
}

// Write writes the timeline, each line with the time since the first one, and the cause of the request's end.
func Write(out io.Writer, timeline []Line) error {
	for _, l := range timeline {
		fields := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			fields = append(fields, name)
		}
		slices.SortFunc(fields, cmp.Compare[string])
		text := &strings.Builder{}
		for _, name := range fields {
			fmt.Fprintf(text, " %s=%s", name, l.Text(name))
		}
		if _, err := fmt.Fprintf(out, "%8.3f s  %s  %s%s\n", l.At.Sub(timeline[0].At).Seconds(), l.Instance, l.Message, text); err != nil {
			return err
		}
	}
	if cause := Cause(timeline); cause != "" {
		if _, err := fmt.Fprintf(out, "cause: %s\n", cause); err != nil {
			return err
		}
	}
	return nil
}
