package hosted

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestCompress(t *testing.T) {
	t.Run("roundTrip", func(t *testing.T) {
		is := is.New(t)
		data := bytes.Repeat([]byte(`{"name":"route"},`), 5000)
		compressed, err := compress(data)
		is.NoErr(err)
		is.True(len(compressed)*10 < len(data))
		decompressed, err := decompress(compressed)
		is.NoErr(err)
		is.Equal(string(decompressed), string(data))
	})
	t.Run("tooLarge", func(t *testing.T) {
		is := is.New(t)
		compressed, err := compress(make([]byte, maximumCatalogueBytes+1))
		is.NoErr(err)
		_, err = decompress(compressed)
		is.True(err != nil)
	})
	t.Run("notCompressed", func(t *testing.T) {
		_, err := decompress([]byte(`{"version":1}`))
		is.New(t).True(err != nil)
	})
}
