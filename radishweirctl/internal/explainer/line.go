package explainer

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxLineBytes bounds one line of the logs; a line about a job names its
// upstreams and is far shorter.
const maxLineBytes = 1 << 20

// Line is one event of an entry's log.
type Line struct {
	// Text is the event from its time on.
	Text   string            `json:"text"`
	Time   time.Time         `json:"-"`
	Event  string            `json:"-"`
	Entry  string            `json:"-"`
	Fields map[string]string `json:"-"`
}

// Read takes the events of logs; what comes before "time=" on a line, and lines
// without it, are left out.
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

// parse reads the key=value pairs of one event.
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

// cutValue splits off the value at the beginning of s.
func cutValue(s string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(s); err == nil {
		if value, err = strconv.Unquote(quoted); err == nil {
			return value, s[len(quoted):]
		}
	}
	value, rest, _ = strings.Cut(s, " ")
	return value, rest
}
