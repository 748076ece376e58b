package capacity

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestMeasure(t *testing.T) {
	t.Run("line", func(t *testing.T) {
		is := is.New(t)
		p := &Probe{Sizes: []int{10, 20, 40, 80}, Cost: func(_ context.Context, size int, _ uint64) (float64, error) {
			return 7 + 3*float64(size), nil
		}}
		s, err := p.Measure(context.Background(), 1)
		is.NoErr(err)
		is.True(s.PerItem > 2.999 && s.PerItem < 3.001)
		is.True(s.Base > 6.99 && s.Base < 7.01)
		is.Equal(len(s.Samples), 4*repetitions)
	})
	t.Run("spread", func(t *testing.T) {
		is := is.New(t)
		p := &Probe{Sizes: []int{1, 2, 3, 4}, Cost: func(_ context.Context, size int, seed uint64) (float64, error) {
			return float64(size) * float64(seed), nil
		}}
		s, err := p.Measure(context.Background(), 1)
		is.NoErr(err)
		is.Equal(int(s.Least+0.5), 1)
		is.Equal(int(s.PerItem+0.5), 3)
		is.Equal(int(s.Most+0.5), 5)
	})
	t.Run("failure", func(t *testing.T) {
		is := is.New(t)
		wrong := errors.New("wrong")
		p := &Probe{Name: "p", Sizes: []int{1}, Cost: func(context.Context, int, uint64) (float64, error) { return 0, wrong }}
		_, err := p.Measure(context.Background(), 1)
		is.True(errors.Is(err, wrong))
	})
}

func TestPage(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "page.md")
	is.NoErr(os.WriteFile(name, []byte("a\n<!-- measured: x -->\nold\n<!-- end: x -->\nb\n"), 0o600))
	p, err := OpenPage(name)
	is.NoErr(err)
	is.NoErr(p.Replace("x", "new\n\n"))
	is.True(p.Replace("y", "new") != nil)
	is.NoErr(p.Write())
	data, err := os.ReadFile(name)
	is.NoErr(err)
	is.Equal(string(data), "a\n<!-- measured: x -->\nnew\n<!-- end: x -->\nb\n")
}
