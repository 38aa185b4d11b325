package caller

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
)

func TestRequestsUnreadWhenTheServerStopsAreAnswered(t *testing.T) {
	f := &fakeBackend{}
	s := &Server{Address: "127.0.0.1:0", Jobs: f, Services: f, Recorder: f, Ready: func() bool { return true }}
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Run() }()
	conns := make([]net.Conn, 50)
	for i := range conns {
		c, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		conns[i] = c
	}
	time.Sleep(50 * time.Millisecond)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, c := range conns {
		if _, err := fmt.Fprint(c, "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := s.Drain(ctx); err != nil {
		t.Errorf("the drain ended with %v", err)
	}
	lost := 0
	for _, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			lost++
			continue
		}
		_ = resp.Body.Close()
	}
	if lost > 0 {
		t.Errorf("%d of %d requests got no answer", lost, len(conns))
	}
}
