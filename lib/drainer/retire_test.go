package drainer_test

import (
	"testing"
	"time"
)

// Guards against a caller that sends its next request on a connection that is about to be
// closed: the answer to a request that was open when the server was retired must say so.
func TestOpenRequestClosesItsConnectionOnceRetired(t *testing.T) {
	l := listen(t)
	s := serve(t, l, 200*time.Millisecond)
	c := callers(t, l, 1, false)[0]
	if err := c.send(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	s.Retire()
	if closes, err := c.receive(); err != nil || !closes {
		t.Errorf("the connection closes after its answer: %v, %v", closes, err)
	}
}
