package position

import (
	"testing"

	"github.com/matryer/is"
)

func TestCompare(t *testing.T) {
	old, lost, renewed := Position{Era: 1, Offset: 5}, Position{Era: 1, Offset: 9}, Position{Era: 2, Offset: 6}
	t.Run("offsets order positions of one era", func(t *testing.T) {
		is := is.New(t)
		is.True(old.Before(lost))
		is.True(!lost.Before(old))
		is.Equal(old.Compare(old), 0)
	})
	t.Run("a later era is later at any offset", func(t *testing.T) {
		is := is.New(t)
		is.True(lost.Before(renewed))
		is.Equal(Latest(renewed, lost), renewed)
		is.Equal(Latest(lost, renewed), renewed)
	})
}
