package assembler

import (
	"cmp"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"radishweir.org/lib/drainer"
	"radishweir.org/lib/limiter"
)

// memoryLimitPercent is the memory limit of the Go runtime, in percent of the memory that the
// settings state. Near the limit the garbage collector runs more often. The rest is left to
// kernel buffers.
const memoryLimitPercent = 70

// vm returns the size of this VM. The settings go before what the kernel tells.
func (s *Settings) vm() limiter.VM {
	v := limiter.VM{Memory: int64(s.MemoryMB) << 20, Descriptors: cmp.Or(s.MaxDescriptors, drainer.DescriptorLimit())}
	var info unix.Sysinfo_t
	if v.Memory == 0 && unix.Sysinfo(&info) == nil {
		v.Memory = int64(info.Totalram) * int64(info.Unit)
	}
	return v
}

// limitMemory sets the memory limit of the Go runtime if the settings state the memory.
func (s *Settings) limitMemory() {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryLimitPercent / 100)
	}
}
