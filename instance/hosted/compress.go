package hosted

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/samber/oops"
)

// pack compresses a catalogue for another instance: over a slow link its size decides how long it takes.
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

// unpack reads what pack wrote, up to maximumCatalogue bytes.
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
		return nil, oops.In("hosted").Errorf("catalogue of a peer is over %d bytes", maximumCatalogueBytes)
	}
	return data, nil
}
