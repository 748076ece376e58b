package capacity

import (
	"fmt"
	"os"
	"strings"
)

// Page is a document whose tables are measured: each stands between two marker lines.
type Page struct {
	name string
	text string
}

// OpenPage reads a page.
func OpenPage(name string) (*Page, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return &Page{name: name, text: string(data)}, nil
}

// Replace puts a table between the markers of that name.
func (p *Page) Replace(name, table string) error {
	begin, end := "<!-- measured: "+name+" -->\n", "<!-- end: "+name+" -->"
	head, rest, found := strings.Cut(p.text, begin)
	_, tail, ended := strings.Cut(rest, end)
	if !found || !ended {
		return fmt.Errorf("%s: no markers for %s", p.name, name)
	}
	p.text = head + begin + strings.TrimRight(table, "\n") + "\n" + end + tail
	return nil
}

// Write writes the page back.
func (p *Page) Write() error {
	return os.WriteFile(p.name, []byte(p.text), 0o644)
}
