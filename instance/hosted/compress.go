package hosted

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/samber/oops"
)

// compress compresses a catalogue for another instance, because its size determines the transfer time over a slow link.
func compress(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(data); err != nil {
		return nil, oops.In("hosted").Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, oops.In("hosted").Wrap(err)
	}
	return compressed.Bytes(), nil
}

// decompress reverses compress; it returns an error if the result is larger than maximumCatalogueBytes.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, oops.In("hosted").Wrap(err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maximumCatalogueBytes+1))
	if err != nil {
		return nil, oops.In("hosted").Wrap(err)
	}
	if len(data) > maximumCatalogueBytes {
		return nil, oops.In("hosted").Errorf("catalogue of a peer is larger than %d bytes", maximumCatalogueBytes)
	}
	return data, nil
}
