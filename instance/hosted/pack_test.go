package hosted

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestPack(t *testing.T) {
	t.Run("thereAndBack", func(t *testing.T) {
		is := is.New(t)
		data := bytes.Repeat([]byte(`{"name":"route"},`), 5000)
		packed, err := pack(data)
		is.NoErr(err)
		is.True(len(packed)*10 < len(data))
		back, err := unpack(packed)
		is.NoErr(err)
		is.Equal(string(back), string(data))
	})
	t.Run("tooLarge", func(t *testing.T) {
		is := is.New(t)
		packed, err := pack(make([]byte, maximumCatalogue+1))
		is.NoErr(err)
		_, err = unpack(packed)
		is.True(err != nil)
	})
	t.Run("notPacked", func(t *testing.T) {
		_, err := unpack([]byte(`{"version":1}`))
		is.New(t).True(err != nil)
	})
}
