package main

import (
	"regexp"
	"slices"
	"strings"
)

// event is an event of go test -json.
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string
}

// output is a piece of output, with the test that printed it; empty for the package itself.
type output struct{ test, text string }

// result is the result of one package.
type result struct {
	name    string
	outputs []output
	// passed holds the tests that passed or were skipped, failed those at the top level that
	// failed.
	passed map[string]bool
	failed []string
	// ended is true if the test program ended by itself after the last test.
	ended bool
	// failedBuild is true if the package could not be built.
	failedBuild bool
}

// failedTest matches the line of a failed test at the top level, but not of a subtest.
var failedTest = regexp.MustCompile(`^--- FAIL: ([^\s/]+) `)

// add adds an event of the package.
func (r *result) add(e event) {
	if r.passed == nil {
		r.passed = make(map[string]bool)
	}
	switch e.Action {
	case "output":
		r.outputs = append(r.outputs, output{e.Test, e.Output})
		if m := failedTest.FindStringSubmatch(e.Output); m != nil {
			r.failed = append(r.failed, m[1])
		}
		r.ended = r.ended || (e.Test == "" && e.Output == "FAIL\n")
	case "pass", "skip":
		r.passed[e.Test] = e.Test != ""
	case "fail":
		r.failedBuild = r.failedBuild || e.FailedBuild != ""
	}
}

// failures are the lines by which a run fails, whichever tests fail. Entries print a panic at the
// beginning of a line, and tests indent the logs of entries.
var failures = regexp.MustCompile(`(?m)^\s*(panic|fatal error): |DATA RACE|: data race$|\[(build|setup) failed\]$|^\*\*\* Test killed`)

// text returns all output of the package.
func (r *result) text() string {
	var b strings.Builder
	for _, o := range r.outputs {
		b.WriteString(o.text)
	}
	return b.String()
}

// exitStatus matches the line about the end of a test program.
var exitStatus = regexp.MustCompile(`^(exit status|signal:) `)

// detectorCheck matches a failed check of the race detector.
var detectorCheck = regexp.MustCompile(`ThreadSanitizer: CHECK failed.*`)

// detectorFault matches a fault outside of Go code, which the runtime reports for goroutine 0.
var detectorFault = regexp.MustCompile(`(?m)^SIGSEGV: segmentation violation.*\n(.*\n){0,3}goroutine 0 `)

// detectorCrashed reports whether the test program ended early only because the race detector itself
// crashed, by a check of its own or by a fault outside of Go code. A fault in Go code is a panic or a
// fatal error. It is false after a failure that is not known.
func (r *result) detectorCrashed(known map[string]bool) bool {
	if r.ended || failures.MatchString(r.text()) {
		return false
	}
	for _, t := range r.failed {
		if !known[t] {
			return false
		}
	}
	return r.crash() != ""
}

// crash returns the line by which the race detector reported its crash, empty if there is none.
func (r *result) crash() string {
	text := r.text()
	if line := detectorCheck.FindString(text); line != "" {
		return line
	}
	fault, _, _ := strings.Cut(detectorFault.FindString(text), "\n")
	return fault
}

// endedTests returns the tests at the top level that passed, were skipped or failed.
func (r *result) endedTests() []string {
	tests := slices.Clone(r.failed)
	for t := range r.passed {
		if t != "" && !strings.Contains(t, "/") {
			tests = append(tests, t)
		}
	}
	slices.Sort(tests)
	return tests
}

// status returns the status that the go command printed for the test program, after a separator.
func (r *result) status() string {
	for _, o := range r.outputs {
		if o.test == "" && exitStatus.MatchString(o.text) {
			return ": " + strings.TrimSpace(o.text)
		}
	}
	return ""
}

// verdict returns why the package failed, empty if it did so by known tests alone.
func (r *result) verdict(known map[string]bool) string {
	if line := failures.FindString(r.text()); line != "" {
		return strings.TrimSpace(line)
	}
	switch {
	case r.failedBuild:
		return "it could not be built"
	case len(r.failed) == 0:
		return "no test failed, but the package did" + r.status()
	case !r.ended:
		return "the test program ended before its last test" + r.status()
	}
	for _, t := range r.failed {
		if !known[t] {
			return t
		}
	}
	return ""
}
