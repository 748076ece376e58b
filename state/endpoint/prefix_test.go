package endpoint

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestBlocks(t *testing.T) {
	t.Run("sharedPrefix", func(t *testing.T) {
		is := is.New(t)
		common := strings.Repeat("a", 2*BlockBytes)
		first := Blocks(common + strings.Repeat("b", BlockBytes))
		second := Blocks(common + strings.Repeat("c", BlockBytes))
		is.Equal(first[:2], second[:2])
		is.True(first[2] != second[2])
	})
	t.Run("bounded", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(Blocks(strings.Repeat("a", 1<<20))), MaximumBlocks)
		is.Equal(len(Blocks("short")), 0)
	})
}
