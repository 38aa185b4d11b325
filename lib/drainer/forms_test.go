package drainer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"radishweir.org/lib/drainer"
)

func TestDrainBeforeServe(t *testing.T) {
	l := listen(t)
	c := dial(t, l)
	if err := c.send(); err != nil {
		t.Fatal(err)
	}
	s := &drainer.Server{Observer: &drops{}, Log: zerolog.Nop()}
	s.Handler = http.NotFoundHandler()
	if err := s.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	if _, err := c.receive(); err != nil {
		t.Errorf("the request in the queue ended with %v", err)
	}
	select {
	case err := <-served:
		if err != http.ErrServerClosed {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the server goes on")
	}
	if err := s.Drain(t.Context()); err != nil {
		t.Error(err)
	}
}

func TestFormsOfRequestsDuringDrain(t *testing.T) {
	steps := map[string]struct {
		parts   []string
		half    bool
		answers int
	}{
		"trickle":  {[]string{"POST /q HT", "TP/1.1\r\nHost: h\r\n", "Content-Length: 2\r\n\r\n{", "}"}, false, 1},
		"late":     {[]string{"POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n", "{}"}, false, 1},
		"continue": {[]string{"POST /q HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", "{}"}, false, 2},
		"http10":   {[]string{"POST /q HTTP/1.0\r\nContent-Length: 2\r\n\r\n", "{}"}, false, 1},
		"half":     {[]string{request}, true, 1},
		"get":      {[]string{"GET /q HTTP/1.1\r\nHost: h\r\n\r\n"}, false, 1},
		"chunked":  {[]string{"POST /q HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\n{}\r\n", "0\r\n\r\n"}, false, 1},
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := listen(t)
			s := serve(t, l, 50*time.Millisecond)
			c := callers(t, l, 1, true)[0]
			time.Sleep(600 * time.Millisecond)
			drained := make(chan error, 1)
			_, _ = io.WriteString(c, step.parts[0])
			go func() { drained <- s.Drain(t.Context()) }()
			for _, p := range step.parts[1:] {
				time.Sleep(700 * time.Millisecond)
				if _, err := io.WriteString(c, p); err != nil {
					t.Fatal(err)
				}
			}
			if step.half {
				_ = c.Conn.(*net.TCPConn).CloseWrite()
			}
			for range step.answers {
				if _, err := c.receive(); err != nil {
					t.Error(err)
				}
			}
			if err := <-drained; err != nil {
				t.Error(err)
			}
			if n := s.Observer.(*drops).total(); n != 0 {
				t.Errorf("%d reported", n)
			}
		})
	}
}

// A pipelined request that was buffered before the server retired is answered or refused by
// the answer before it.
func TestPipelinedRequestsDuringDrain(t *testing.T) {
	l := listen(t)
	s := serve(t, l, 300*time.Millisecond)
	c := callers(t, l, 1, true)[0]
	_, _ = io.WriteString(c, request+request)
	time.Sleep(100 * time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context()) }()
	for i := range 2 {
		closes, err := c.receive()
		t.Log(i, closes, err)
		if err != nil {
			t.Errorf("answer %d: %v", i, err)
		}
		if closes {
			break
		}
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

func TestPanicAndHijackLeaveNothing(t *testing.T) {
	l := listen(t)
	s := &drainer.Server{Observer: &drops{}, Log: zerolog.Nop()}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hijack" {
			nc, rw, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			line, err := rw.ReadString('\n')
			_, _ = io.WriteString(nc, line)
			if err != nil {
				t.Error(err)
			}
			_ = nc.Close()
			return
		}
		panic(http.ErrAbortHandler)
	})
	go func() { _ = s.Serve(l) }()
	for range 10 {
		c := dial(t, l)
		_ = c.send()
		_, _ = io.Copy(io.Discard, c)
		c = dial(t, l)
		_, _ = io.WriteString(c, "GET /hijack HTTP/1.1\r\nHost: h\r\n\r\nhello\n")
		if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || line != "hello\n" {
			t.Errorf("%q %v", line, err)
		}
	}
	time.Sleep(50 * time.Millisecond)
	if a, b, c := s.Counts(); a+b+c != 0 {
		t.Errorf("left %d %d %d", a, b, c)
	}
	if n := s.Observer.(*drops).total(); n != 0 {
		t.Errorf("%d reported", n)
	}
	if err := s.Drain(t.Context()); err != nil {
		t.Error(err)
	}
}
