package composer

import (
	"cmp"
	"time"

	"radishweir.org/lib/drainer"
	"radishweir.org/lib/limiter"
	"radishweir.org/lib/loader"
)

const (
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
	vm := s.vm()
	l := limiter.Limits{
		Connections: vm.Connections(s.MaxConnections), Memory: vm.RequestMemory(), HeaderBytes: maxHeaderBytes,
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

// vm returns the size of this VM.
func (s *Settings) vm() limiter.VM {
	return limiter.VM{Memory: int64(s.MemoryMB) << 20, Descriptors: cmp.Or(s.MaxDescriptors, drainer.DescriptorLimit())}
}
