package control

import (
	"runtime"
	"syscall"
	"time"
)

// reading is what all instances together have cost so far.
type reading struct {
	at        time.Time
	processor time.Duration
	bytes     map[string]float64 // by kind
	calls     map[string]float64
	most      map[string]float64 // bytes by instance
}

// kindFrames is what peers' connections carry around the methods' content.
const kindFrames = "peer frames"

// read reads the counters of all instances; each peer call counts at both of its ends.
func (f *fleet) read() (*reading, error) {
	processor, err := processorTime()
	if err != nil {
		return nil, err
	}
	r := &reading{
		at: time.Now(), processor: processor, bytes: make(map[string]float64), calls: make(map[string]float64),
		most: make(map[string]float64),
	}
	for _, n := range f.live() {
		u := n.Instance.Usage()
		peers := float64(u.PeerBytesIn + u.PeerBytesOut)
		r.bytes[kindFrames] += peers
		r.most[n.name] += peers
		for _, m := range u.Served {
			content := 2 * float64(m.ParamBytes+m.ResultBytes)
			r.bytes[m.Method] += content
			r.calls[m.Method] += 2 * float64(m.Calls)
			r.bytes[kindFrames] -= content
		}
		for _, q := range u.Requests {
			r.bytes[q.Name] += float64(q.BytesIn + q.BytesOut)
			r.calls[q.Name] += float64(q.Calls)
			r.most[n.name] += float64(q.BytesIn + q.BytesOut)
		}
	}
	return r, nil
}

// processorTime returns the time that this process has spent on processors, in user and kernel mode.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// memory returns the bytes that the process holds for its heap's live objects and its stacks.
func memory() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// Cost is what control costs one instance, as a mean over all, in one window.
type Cost struct {
	Bytes     map[string]float64 `json:"bytes"`     // bytes/s by kind, in and out
	Calls     map[string]float64 `json:"calls"`     // calls/s by kind, made and served
	Sum       float64            `json:"sum"`       // bytes/s
	Most      float64            `json:"most"`      // bytes/s of the instance with the most
	Processor float64            `json:"processor"` // share of one core
	Memory    float64            `json:"memory"`    // bytes
}

// since returns the cost of each of the instances since the former reading.
func (r *reading) since(former *reading, instances int) *Cost {
	span := r.at.Sub(former.at).Seconds()
	each := span * float64(instances)
	c := &Cost{Bytes: make(map[string]float64), Calls: make(map[string]float64)}
	for kind, total := range r.bytes {
		c.Bytes[kind] = (total - former.bytes[kind]) / each
		c.Sum += c.Bytes[kind]
	}
	for kind, total := range r.calls {
		c.Calls[kind] = (total - former.calls[kind]) / each
	}
	for name, total := range r.most {
		c.Most = max(c.Most, (total-former.most[name])/span)
	}
	c.Processor = (r.processor - former.processor).Seconds() / each
	return c
}
