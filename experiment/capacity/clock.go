package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime returns the time that this process has spent on processors, in user and kernel mode.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// processorCost returns the processor time in microseconds that the work took, whole process.
func processorCost(work func() error) (float64, error) {
	runtime.GC()
	before, err := processorTime()
	if err != nil {
		return 0, err
	}
	if err := work(); err != nil {
		return 0, err
	}
	after, err := processorTime()
	return float64(after-before) / float64(time.Microsecond), err
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
