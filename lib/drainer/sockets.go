package drainer

import (
	"math"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// receiveBuffer and sendBuffer are the sizes in bytes of the buffers of a connection's
	// socket. They bound what waits there while the connection's request is served, and what
	// its caller does not receive. With a smaller send buffer, of which the kernel makes
	// twice the size, each segment on the loopback interface would wait for a delayed
	// acknowledgement.
	receiveBuffer = 16 << 10
	sendBuffer    = 40 << 10
)

// limitBuffers sets the sizes of the buffers of the sockets that a listener accepts.
func limitBuffers(l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer),
		)
	})
	return errors.Join(err, optErr)
}

// DescriptorLimit returns the number of descriptors that the kernel lets this process open, 0
// if it is unknown.
var DescriptorLimit = sync.OnceValue(func() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return 0
	}
	return int(min(l.Cur, math.MaxInt32))
})
