// Tester runs the tests of the module in the current folder with the race detector and decides
// whether they passed.
//
// A failed test that is listed as known does not fail the run, and its output does not either,
// whatever it contains. A panic, a data race, a timeout, a failed build and a test program that ends
// before its last test always do. After a crash of the race detector itself, the tests that had not
// ended are run again; each test has to end once.
//
// # Usage
//
//	cd lib && tester ../KNOWN-RED.txt
//
// The file lists each known test on a line of its own, "test: NAME". The lines that begin with
// "verdict: " tell what was passed over and why a package failed. The exit status is 0 if the run
// passed, else 1.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"runtime"
	"strings"
)

const (
	// timeout ends the tests of a package that hang, so that CI prints what hangs.
	timeout = "20m"
	// maxCrashes is the number of crashes of the race detector in a package after which it
	// counts as failed, or on arm64 is tested without the detector.
	maxCrashes = 3
)

func main() {
	known, err := readKnown(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "tester:", err)
		os.Exit(1)
	}
	results, err := test(true, "./...")
	if err != nil {
		fmt.Println("verdict:", err)
	}
	passed := err == nil
	for _, r := range results {
		passed = finish(r, known, test) && passed
	}
	if !passed {
		os.Exit(1)
	}
}

// testFunc calls go test, with the race detector or without, and further arguments. It returns the
// results of the packages that failed, in order: none if all passed.
type testFunc func(race bool, further ...string) ([]*result, error)

// finish prints the verdict on a package for which go test failed, and reports whether the package
// passed nevertheless. After a crash of the race detector it calls again for the tests that had not
// ended.
func finish(r *result, known map[string]bool, again testFunc) bool {
	failed := r.failed
	var ended []string
	for crashes := 1; crashes <= maxCrashes && r.detectorCrashed(known); crashes++ {
		race := crashes < maxCrashes
		if !race && runtime.GOARCH != "arm64" {
			break
		}
		ended = append(ended, r.endedTests()...)
		fmt.Printf("verdict: the race detector crashed in %s (%s); the tests after %d ended ones are run again, with the detector: %v\n", r.name, r.crash(), len(ended), race)
		results, err := again(race, "-skip", skipPattern(ended), r.name)
		if err != nil {
			fmt.Println("verdict:", err)
			return false
		}
		if len(results) == 0 {
			printKnown(failed, known)
			return true
		}
		r = results[0]
		failed = append(failed, r.failed...)
	}
	printKnown(failed, known)
	reason := r.verdict(known)
	if reason != "" {
		fmt.Printf("verdict: %s failed: %s\n", r.name, reason)
	}
	return reason == ""
}

// printKnown prints the failed tests that are passed over.
func printKnown(failed []string, known map[string]bool) {
	for _, t := range failed {
		if known[t] {
			fmt.Println("verdict: KNOWN-RED passed over:", t)
		}
	}
}

// skipPattern returns the pattern that matches exactly the given tests.
func skipPattern(tests []string) string {
	return "^(" + strings.Join(tests, "|") + ")$"
}

var knownTest = regexp.MustCompile(`(?m)^test: (\S+)$`)

// readKnown reads the names of the known tests.
func readKnown(path string) (map[string]bool, error) {
	data, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return nil, err
	}
	known := make(map[string]bool)
	for _, m := range knownTest.FindAllStringSubmatch(string(data), -1) {
		known[m[1]] = true
	}
	return known, nil
}

// test is the testFunc of the go command.
func test(race bool, further ...string) ([]*result, error) {
	args := []string{"test", "-json", "-count=1", "-timeout", timeout}
	if race {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, further...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	results, err := collect(out, os.Stdout)
	if err != nil {
		return nil, err
	}
	if err := cmd.Wait(); err != nil && len(results) == 0 {
		return nil, err
	}
	return results, nil
}

// collect reads the events of go test and prints what it would print without -json. It returns the
// results of the packages that failed.
func collect(events io.Reader, out io.Writer) ([]*result, error) {
	packages := make(map[string]*result)
	var failed []*result
	s := bufio.NewScanner(events)
	s.Buffer(nil, 1<<26)
	for s.Scan() {
		var e event
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			// The go command prints some errors as plain text.
			fmt.Fprintln(out, s.Text())
			continue
		}
		if e.Action == "build-output" {
			fmt.Fprint(out, e.Output)
			continue
		}
		r := packages[e.Package]
		if r == nil {
			r = &result{name: e.Package}
			packages[e.Package] = r
		}
		r.add(e)
		if e.Test != "" || (e.Action != "pass" && e.Action != "fail" && e.Action != "skip") {
			continue
		}
		r.print(out, e.Action == "fail")
		if e.Action == "fail" {
			failed = append(failed, r)
		}
		delete(packages, e.Package)
	}
	return failed, s.Err()
}

// print prints the output of a package: that of failed tests and of the package itself, or only
// its last line if it passed.
func (r *result) print(out io.Writer, failed bool) {
	lines := r.outputs
	if !failed && len(lines) > 0 {
		lines = lines[len(lines)-1:]
	}
	for _, l := range lines {
		if !r.passed[l.test] && !strings.HasPrefix(l.text, "=== ") {
			fmt.Fprint(out, l.text)
		}
	}
}
