// Package measure runs fleets of different sizes in one process and measures the cost of an instance in CPU time, memory,
// platform calls and control traffic, so that the growth with the number of instances can be seen. It uses small
// stand-ins and does not simulate a cluster.
package measure

import (
	"bytes"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"
)

// usage is the resource usage of the process at one point in time.
type usage struct {
	takenAt  time.Time
	cpu      time.Duration // user and system time
	resident int64         // bytes
	heap     uint64        // heap and stack bytes in use after a garbage collection
}

// readUsage returns the current resource usage. It collects garbage first, so that the memory figures contain only memory
// in use.
func readUsage() (usage, error) {
	debug.FreeOSMemory()
	var rusage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rusage); err != nil {
		return usage{}, err
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	resident, err := residentBytes()
	cpu := time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
	return usage{takenAt: time.Now(), cpu: cpu, resident: resident, heap: memory.HeapInuse + memory.StackInuse}, err
}

// residentBytes returns the resident memory of this process as the kernel reports it.
func residentBytes() (int64, error) {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	pages, err := strconv.ParseInt(string(bytes.Fields(data)[1]), 10, 64)
	return pages * int64(os.Getpagesize()), err
}
