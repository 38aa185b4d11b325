package composer

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"radishweir.org/lib/limiter"
	"radishweir.org/lib/loader"
)

const (
	// requestMemoryPercent is the share of the VM's memory for callers' requests beyond the
	// allowances of their connections, and again for kept jobs.
	requestMemoryPercent = 16
	// connectionMemoryPercent is the share of the VM's memory for callers' connections, and
	// connectionBytes the memory of one in bytes, its buffers in the kernel included.
	connectionMemoryPercent = 30
	connectionBytes         = 80 << 10
	// fileDescriptors is the number of descriptors that callers' connections leave to files,
	// and ownDescriptorPercent the share of the others that they leave to connections to
	// entries, upstreams and the store.
	fileDescriptors      = 200
	ownDescriptorPercent = 40
	// headerTimeout, idleTimeout and maxHeaderBytes apply unless the configuration sets
	// others: the time in which a client must send its headers, the time after which an idle
	// client connection is closed, and the size of a request's headers in bytes.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	// headerBytesBound is the largest size of headers that a configuration can allow.
	headerBytesBound = 64 << 10
	// otherConnections is the number of connections of load balancers, and otherMemory the
	// memory in bytes of their requests beyond the allowances.
	otherConnections = 64
	otherMemory      = 1 << 20
)

// callerLimits returns the limits of callers: those of the configuration in force, and those
// that follow from the size of this VM.
func (e *Entry) callerLimits() limiter.Limits {
	s := e.current.Load()
	l := limiter.Limits{
		Connections: s.callerConnections(), Memory: s.requestMemory(), HeaderBytes: maxHeaderBytes,
		HeaderTimeout: headerTimeout, BodyTimeout: loader.Duration(s.BodyTimeout), IdleTimeout: idleTimeout,
	}
	t, _ := e.router.Table()
	if t.MaxHeaderBytes > 0 {
		l.HeaderBytes = min(t.MaxHeaderBytes, headerBytesBound)
	}
	if t.HeaderTimeout > 0 {
		l.HeaderTimeout = t.HeaderTimeout
	}
	if t.IdleTimeout > 0 {
		l.IdleTimeout = t.IdleTimeout
	}
	return l
}

// otherLimits returns the limits of the load balancer's connections.
func (e *Entry) otherLimits() limiter.Limits {
	l := e.callerLimits()
	l.Connections, l.Memory = otherConnections, otherMemory
	return l
}

// requestMemory returns the memory in bytes for callers' requests beyond the allowances of
// their connections.
func (s *Settings) requestMemory() int64 {
	return int64(s.MemoryMB) << 20 * requestMemoryPercent / 100
}

// callerConnections returns the number of callers' connections that this VM has memory and
// descriptors for, or less if the settings say so.
func (s *Settings) callerConnections() int {
	n := int(int64(s.MemoryMB) << 20 * connectionMemoryPercent / 100 / connectionBytes)
	if d := s.descriptors(); d > 0 {
		n = min(n, max(1, (d-fileDescriptors)*(100-ownDescriptorPercent)/100))
	}
	if s.MaxConnections > 0 {
		n = min(n, s.MaxConnections)
	}
	return n
}

// descriptors returns the number of descriptors that this process may open, 0 if unknown.
func (s *Settings) descriptors() int {
	if s.MaxDescriptors > 0 {
		return s.MaxDescriptors
	}
	return descriptorLimit()
}

// descriptorLimit returns the kernel's limit of this process, 0 if unknown.
var descriptorLimit = sync.OnceValue(func() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return 0
	}
	return int(min(l.Cur, 1<<30))
})
