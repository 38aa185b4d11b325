package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// backgroundID begins the identifiers of the jobs that the record leaves out.
const backgroundID = "b"

// recorder writes what was sent, answered and run, a line each.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	// hidden is the number of lines that were left out.
	hidden int
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		fatal("record", err)
	}
	return &recorder{began: time.Now(), file: f}
}

// add writes a line: the seconds since the start, what happened, and names with values.
func (r *recorder) add(what string, fields ...any) {
	for i := 0; i+1 < len(fields); i += 2 {
		name, _ := fields[i+1].(string)
		if (fields[i] == "job" || fields[i] == "task") && strings.HasPrefix(name, backgroundID) {
			r.mu.Lock()
			r.hidden++
			r.mu.Unlock()
			return
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", time.Since(r.began).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	b.WriteByte('\n')
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(b.String())
}

// seconds returns a time as the record shows it.
func (r *recorder) seconds(at time.Time) float64 { return at.Sub(r.began).Seconds() }

// fatal ends the program because the case cannot run.
func fatal(what string, err error) {
	fmt.Fprintln(os.Stderr, what+":", err)
	stopAll()
	os.Exit(2)
}
