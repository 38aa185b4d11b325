package drainer_test

import (
	"io"
	"strings"
	"testing"
	"time"
)

// total returns the number of dropped requests.
func (d *drops) total() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, v := range d.n {
		n += v
	}
	return n
}

// Guards against a report of a request that net/http answered itself.
func TestRequestThatIsAnsweredWithoutTheHandlerIsNotReported(t *testing.T) {
	for name, request := range map[string]string{
		"malformed":   "GET / HTTP/1.1\r\n\r\n",
		"expectation": "POST /q HTTP/1.1\r\nHost: h\r\nExpect: x\r\nContent-Length: 2\r\n\r\n{}",
		"options":     "OPTIONS * HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"header":      "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2<<20) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l := listen(t)
			s := serve(t, l, 0)
			c := callers(t, l, 1, false)[0]
			go func() { _, _ = io.WriteString(c, request) }()
			if _, err := c.receive(); err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, c)
			time.Sleep(600 * time.Millisecond)
			if n := s.Observer.(*drops).total(); n != 0 {
				t.Errorf("%d requests were reported that got an answer", n)
			}
		})
	}
}
