package explainer

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxLineBytes limits one line of the logs. Lines that list the upstreams of a job
// are among the longest and far shorter.
const maxLineBytes = 1 << 20

// Line is one event in an entry's log.
type Line struct {
	// Text is the line from "time=" on.
	Text   string            `json:"text"`
	Time   time.Time         `json:"-"`
	Event  string            `json:"-"`
	Entry  string            `json:"-"`
	Fields map[string]string `json:"-"`
}

// Read reads the events of logs. It drops what precedes "time=" on a line, and
// skips lines without it.
func Read(r io.Reader) ([]Line, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	var out []Line
	for s.Scan() {
		_, text, found := strings.Cut(s.Text(), "time=")
		if !found {
			continue
		}
		if l, ok := parse("time=" + text); ok {
			out = append(out, l)
		}
	}
	if err := s.Err(); err != nil {
		return nil, errors.Wrap(err, "read logs")
	}
	return out, nil
}

// parse reads the key=value pairs of one event. It reports false if the time or
// the event name is missing.
func parse(text string) (Line, bool) {
	l := Line{Text: text, Fields: make(map[string]string)}
	for rest := text; rest != ""; {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			break
		}
		value, next := cutValue(after)
		l.Fields[strings.TrimSpace(key)] = value
		rest = strings.TrimPrefix(next, " ")
	}
	at, err := time.Parse(time.RFC3339Nano, l.Fields["time"])
	l.Time, l.Event, l.Entry = at, l.Fields["event"], l.Fields["entry"]
	return l, err == nil && l.Event != ""
}

// cutValue splits s after the plain or quoted value at its beginning.
func cutValue(s string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(s); err == nil {
		if value, err = strconv.Unquote(quoted); err == nil {
			return value, s[len(quoted):]
		}
	}
	value, rest, _ = strings.Cut(s, " ")
	return value, rest
}
