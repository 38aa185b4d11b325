package drainer

import (
	"io"
	"net"
	"testing"
	"time"
)

func TestRequestThatArrivesBeforeTheDeadlineOfItsReadIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := newConn(&Server{}, nc.(*net.TCPConn))
	defer func() { _ = c.TCPConn.Close() }()
	if _, err := io.WriteString(caller, "GET"); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); !c.hasUnread() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 16)
	if n, err := c.Read(b); err != nil || string(b[:n]) != "GET" {
		t.Errorf("the read returned %q, %v", b[:n], err)
	}
	if _, err := c.Read(b); !isTimeout(err) {
		t.Errorf("the next read, of an incomplete request, returned %v", err)
	}
}

// isTimeout reports whether err is a deadline that has passed.
func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}
