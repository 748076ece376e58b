package capacity

import (
	"runtime"

	"dogwooddyke/experiment/demo"
)

// processorCost returns the processor time in microseconds that the work took, whole process.
func processorCost(work func() error) (float64, error) {
	runtime.GC()
	before := demo.ProcessorTime()
	if err := work(); err != nil {
		return 0, err
	}
	return float64((demo.ProcessorTime() - before).Microseconds()), nil
}

// heapCost returns the bytes of heap that what the build function returns keeps alive.
func heapCost(build func() (any, error)) (float64, error) {
	before := liveHeap()
	kept, err := build()
	if err != nil {
		return 0, err
	}
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before), nil
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC() // a second time for what finalizers and pools let go of
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
