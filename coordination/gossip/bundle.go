package gossip

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// Bundle collects the encoded reports that a forwarder has received since it last sent a bundle. It is not safe for concurrent use.
type Bundle struct {
	local  [][]byte // of instances of the forwarder's data centre
	remote [][]byte // forwarded by another data centre
}

// AddLocal adds a report of an instance of the forwarder's own data centre; the oldest is dropped if there are too many.
func (b *Bundle) AddLocal(report []byte) { b.local = appendBounded(b.local, report) }

// AddRemote adds a report that a forwarder of another data centre has sent; the oldest is dropped if there are too many.
func (b *Bundle) AddRemote(report []byte) { b.remote = appendBounded(b.remote, report) }

func appendBounded(reports [][]byte, report []byte) [][]byte {
	reports = append(reports, report)
	return reports[max(len(reports)-maximumBundledReports, 0):]
}

// Take empties the bundle and returns what goes to the instances of the forwarder's data centre, and what goes to the other data centres.
func (b *Bundle) Take() (members, dataCentres [][]byte) {
	members, dataCentres = append(b.local, b.remote...), b.local
	b.local, b.remote = nil, nil
	return members, dataCentres
}

// EncodeBundles encodes reports in bundles of at most maximumBundleBytes; it returns an error if a value can't be encoded.
func EncodeBundles(reports [][]byte) ([][]byte, error) {
	var bundles [][]byte
	for len(reports) > 0 {
		count, bytes := 0, 0
		for count < len(reports) && (count == 0 || bytes+len(reports[count]) <= maximumBundleBytes) {
			bytes += len(reports[count])
			count++
		}
		data, err := cbor.Marshal(reports[:count])
		if err != nil {
			return nil, oops.In("gossip").Wrap(err)
		}
		bundles, reports = append(bundles, data), reports[count:]
	}
	return bundles, nil
}

// DecodeBundle decodes a bundle into encoded reports; it returns an error if the data is malformed.
func DecodeBundle(data []byte) ([][]byte, error) {
	var reports [][]byte
	if err := cbor.Unmarshal(data, &reports); err != nil {
		return nil, oops.In("gossip").Wrap(err)
	}
	return reports, nil
}
