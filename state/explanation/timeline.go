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

// maximumLine is the longest line of a log that is read, in bytes.
const maximumLine = 1 << 20

// margin is how long before a request's first line, and after its last one, what its instances came to believe belongs to its story.
const margin = 3 * time.Second

// Line is one line of an instance's log.
type Line struct {
	At       time.Time
	Instance string
	Message  string
	Fields   map[string]any
}

// Text gives a field, empty if the line has none.
func (l *Line) Text(field string) string {
	value, found := l.Fields[field]
	if !found {
		return ""
	}
	return fmt.Sprint(value)
}

// Log collects the lines of any number of instances' logs.
type Log struct {
	lines   []Line
	Skipped int // lines that are no log lines
}

// Read adds the lines of one log; what stands before a line's first brace is passed over.
func (l *Log) Read(reader io.Reader) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maximumLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			l.Skipped++
			continue
		}
		l.lines = append(l.lines, line)
	}
	return scanner.Err()
}

func parse(text []byte) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	line := Line{}
	if err := json.Unmarshal(text[begin:], &line.Fields); err != nil {
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

// Timeline gives what happened to a request, in order: its own lines, and what its instances came to believe meanwhile of the
// endpoints that it was sent to, of the log and of the catalogue. It is empty if no line names the request.
func (l *Log) Timeline(id string) []Line {
	var story []Line
	instances, endpoints := map[string]bool{}, map[string]bool{}
	for _, line := range l.lines {
		if line.Text("id") != id {
			continue
		}
		story = append(story, line)
		instances[line.Instance] = true
		endpoints[line.Text("endpoint")] = true
	}
	if len(story) == 0 {
		return nil
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.At.Compare(b.At) })
	from, to := story[0].At.Add(-margin), story[len(story)-1].At.Add(margin)
	delete(endpoints, "")
	for _, line := range l.lines {
		if line.Text("id") != "" || !instances[line.Instance] || line.At.Before(from) || line.At.After(to) {
			continue
		}
		if endpoint := line.Text("endpoint"); endpoint != "" && !endpoints[endpoint] {
			continue
		}
		story = append(story, line)
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.At.Compare(b.At) })
	return story
}

// Cause says in one sentence why a request ended as it did, from the line of its end; empty if there is none.
func Cause(story []Line) string {
	for n := len(story) - 1; n >= 0; n-- {
		l := &story[n]
		switch l.Message {
		case "declined":
			return fmt.Sprintf("%s answered %s: %s", l.Instance, l.Text("status"), l.Text("reason"))
		case "ended":
			return ended(l)
		}
	}
	return ""
}

func ended(l *Line) string {
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
	return text
}

// Write prints a story, each line with the time since the first one.
func Write(out io.Writer, story []Line) error {
	for _, l := range story {
		fields := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			fields = append(fields, name)
		}
		slices.SortFunc(fields, cmp.Compare[string])
		text := &strings.Builder{}
		for _, name := range fields {
			fmt.Fprintf(text, " %s=%s", name, l.Text(name))
		}
		if _, err := fmt.Fprintf(out, "%8.3f s  %s  %s%s\n", l.At.Sub(story[0].At).Seconds(), l.Instance, l.Message, text); err != nil {
			return err
		}
	}
	if cause := Cause(story); cause != "" {
		if _, err := fmt.Fprintf(out, "cause: %s\n", cause); err != nil {
			return err
		}
	}
	return nil
}
