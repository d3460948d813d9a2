package main

import (
	"runtime/debug"

	mp "github.com/mangopaddle/mangopaddle"
)

const (
	// gcPercent lets the heap grow by half before it is collected: hosts have
	// little memory, and the heap of a gateway is a few megabytes.
	gcPercent = 50
	// memoryLimitRatio is the fraction of the host's memory that is set as the
	// runtime's soft memory limit. As the process nears it, garbage is collected
	// more often than gcPercent asks for.
	memoryLimitRatio = 0.8
)

// limitMemory configures the garbage collector to keep the process within a number of
// mebibytes, zero for no limit.
func limitMemory(memoryMB int64) {
	debug.SetGCPercent(gcPercent)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(memoryMB*int64(mp.Mebibyte))))
	}
}
