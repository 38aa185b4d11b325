package limiter

import "math"

// Shares of a VM that callers' connections and requests may take.
const (
	// requestMemoryPercent is the share of the memory for requests beyond the allowances of
	// their connections.
	requestMemoryPercent = 16
	// connectionMemoryPercent is the share of the memory for connections, and
	// connectionBytes the memory of one in bytes, its buffers in the kernel included.
	connectionMemoryPercent = 30
	connectionBytes         = 80 << 10
	// fileDescriptors is the number of descriptors that connections leave to files, and
	// connectionDescriptorPercent the share of the others that they may take. The rest is for
	// connections to entries, upstreams and the platform.
	fileDescriptors             = 200
	connectionDescriptorPercent = 60
)

// VM is the size of a VM.
type VM struct {
	// Memory is its memory in bytes; 0 if unknown.
	Memory int64
	// Descriptors is the number of descriptors that a process may open; 0 if unknown.
	Descriptors int
}

// RequestMemory returns the memory in bytes for callers' requests beyond the allowances of
// their connections.
func (v VM) RequestMemory() int64 { return v.Memory * requestMemoryPercent / 100 }

// Connections returns the number of callers' connections, at most the given number if that is
// positive; 0 if there is no limit.
func (v VM) Connections(most int) int {
	n := math.MaxInt
	if v.Memory > 0 {
		n = max(1, int(v.Memory*connectionMemoryPercent/100/connectionBytes))
	}
	if v.Descriptors > 0 {
		n = min(n, max(1, (v.Descriptors-fileDescriptors)*connectionDescriptorPercent/100))
	}
	if most > 0 {
		n = min(n, most)
	}
	if n == math.MaxInt {
		return 0
	}
	return n
}
