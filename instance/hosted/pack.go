package hosted

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/samber/oops"
)

// pack compresses a catalogue for another instance: over a slow link its size decides how long it takes.
func pack(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(data); err != nil {
		return nil, oops.In("hosted").Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, oops.In("hosted").Wrap(err)
	}
	return packed.Bytes(), nil
}

// unpack reads what pack wrote, up to maximumCatalogue bytes.
func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, oops.In("hosted").Wrap(err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maximumCatalogue+1))
	if err != nil {
		return nil, oops.In("hosted").Wrap(err)
	}
	if len(data) > maximumCatalogue {
		return nil, oops.In("hosted").Errorf("catalogue of a peer is over %d bytes", maximumCatalogue)
	}
	return data, nil
}
