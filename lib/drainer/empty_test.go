package drainer_test

import (
	"net/http"
	"testing"

	"github.com/rs/zerolog"

	"radishweir.org/lib/drainer"
)

// Guards against an answer without a body that leaves its connection open once retired.
func TestEmptyAnswerClosesItsConnectionOnceRetired(t *testing.T) {
	l := listen(t)
	s := &drainer.Server{Observer: &drops{}, Log: zerolog.Nop()}
	s.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	s.Retire()
	c := dial(t, l)
	if err := c.send(); err != nil {
		t.Fatal(err)
	}
	if closes, err := c.receive(); err != nil || !closes {
		t.Errorf("the connection closes after its answer: %v, %v", closes, err)
	}
}
