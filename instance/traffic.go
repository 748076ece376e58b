package instance

import (
	"dogwooddyke/transport/peer"
	"dogwooddyke/transport/traffic"
)

// newMeter counts the kinds of request that control makes over HTTP.
func newMeter() *traffic.Meter {
	return traffic.NewMeter(
		traffic.Kind{Name: "log.append", Method: "POST", Path: "/streams/"},
		traffic.Kind{Name: "log.read", Method: "GET", Path: "/streams/"},
		traffic.Kind{Name: "roster.read", Method: "GET", Path: "/instances"},
		traffic.Kind{Name: "endpoint.load", Method: "GET", Path: "/load"},
		traffic.Kind{Name: "endpoint.cache", Method: "GET", Path: "/cacheEvents"},
		traffic.Kind{Name: "endpoint.orders", Method: "GET", Path: "/orders"},
		traffic.Kind{Name: "endpoint.order", Method: "POST", Path: "/orders"},
	)
}

// Usage is what control has cost an instance so far.
type Usage struct {
	PeerBytesIn  int64 // over all methods, frames and handshakes included
	PeerBytesOut int64
	Served       []peer.MethodUsage // calls of peers
	Requests     []traffic.Usage    // to the platform and to endpoints
}

// Usage returns what control has cost so far.
func (i *Instance) Usage() Usage {
	total := i.node.Traffic()
	return Usage{
		PeerBytesIn: total.BytesIn.Load(), PeerBytesOut: total.BytesOut.Load(),
		Served: i.node.Served(), Requests: i.meter.Usage(),
	}
}
