package instance

import (
	"github.com/prometheus/client_golang/prometheus"
)

// usageCollector gives the metrics of what control costs, by method and by kind of request.
type usageCollector struct {
	instance *Instance
	calls    *prometheus.Desc
	bytes    *prometheus.Desc
}

func newUsageCollector(i *Instance) *usageCollector {
	name := func(suffix string) string { return prometheus.BuildFQName(namespace, "control", suffix) }
	return &usageCollector{
		instance: i,
		calls:    prometheus.NewDesc(name("calls_total"), "Calls for control: served for peers by method, or made by kind of request.", []string{"kind"}, nil),
		bytes:    prometheus.NewDesc(name("bytes_total"), "Bytes of those calls.", []string{"kind", "direction"}, nil),
	}
}

// Describe names the metrics.
func (c *usageCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- c.calls
	descriptions <- c.bytes
}

// Collect reads the counters.
func (c *usageCollector) Collect(found chan<- prometheus.Metric) {
	usage := c.instance.Usage()
	for _, m := range usage.Served {
		c.put(found, "peer."+m.Method, m.Calls, m.ParamBytes, m.ResultBytes)
	}
	for _, r := range usage.Requests {
		c.put(found, r.Name, r.Calls, r.BytesIn, r.BytesOut)
	}
}

func (c *usageCollector) put(found chan<- prometheus.Metric, kind string, calls, bytesIn, bytesOut int64) {
	found <- prometheus.MustNewConstMetric(c.calls, prometheus.CounterValue, float64(calls), kind)
	found <- prometheus.MustNewConstMetric(c.bytes, prometheus.CounterValue, float64(bytesIn), kind, "in")
	found <- prometheus.MustNewConstMetric(c.bytes, prometheus.CounterValue, float64(bytesOut), kind, "out")
}
