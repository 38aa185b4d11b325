// Package checker counts violated invariants from the answers to callers and the
// upstreams' own records.
//
// # Usage
//
//	starts, unread := checker.FetchStarts(ctx, upstreams)
//	violations := checker.Check(jobs, starts, repeatable)
package checker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/wire"
)

// Job is one job as seen by its caller.
type Job struct {
	// Tenant and ID identify the job.
	Tenant, ID string
	// Inputs are the inputs of its tasks.
	Inputs [][]byte
	// Answer is the last answer; nil if there was none.
	Answer *wire.JobAnswer
	// AbandonedIDs are earlier identifiers of the job, which were refused as
	// not_run.
	AbandonedIDs []string
	// Refused is true if the answer was not_run and no other attempt followed.
	Refused bool
}

// Violations counts the violations of each invariant.
type Violations struct {
	StartedTwice int `json:"started_twice"`
	Partial      int `json:"partial_answer"`
	WrongCaller  int `json:"answer_to_the_wrong_caller"`
	NotRunButRan int `json:"not_run_that_ran"`
}

// Total returns the number of all violations.
func (v Violations) Total() int { return v.StartedTwice + v.Partial + v.WrongCaller + v.NotRunButRan }

// FetchStarts reads the upstreams' records and counts the starts of each task. It
// also returns the number of upstreams whose records could not be read.
func FetchStarts(ctx context.Context, addresses []string) (starts map[string]int, unread int) {
	starts = make(map[string]int)
	for _, a := range addresses {
		if addStarts(ctx, a, starts) != nil {
			unread++
		}
	}
	return starts, unread
}

func addStarts(ctx context.Context, address string, starts map[string]int) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/admin/starts", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var list []struct {
		Task string `json:"task"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return err
	}
	for _, s := range list {
		starts[s.Task]++
	}
	return nil
}

// Check checks the invariants on all jobs.
func Check(jobs []Job, starts map[string]int, repeatable bool) Violations {
	var v Violations
	for _, j := range jobs {
		v.checkAnswer(j)
		v.checkAbandoned(j, starts)
		for i := range j.Inputs {
			n := starts[j.taskID(i)]
			if n > 1 && !repeatable {
				v.StartedTwice++
			}
			if n > 0 && j.Refused {
				v.NotRunButRan++
			}
		}
	}
	return v
}

func (j Job) taskID(i int) string { return fmt.Sprintf("%s/%s/%d", j.Tenant, j.ID, i) }

// checkAbandoned counts the tasks that ran under an identifier that the caller
// abandoned after not_run.
func (v *Violations) checkAbandoned(j Job, starts map[string]int) {
	for _, id := range j.AbandonedIDs {
		j.ID = id
		for i := range j.Inputs {
			if starts[j.taskID(i)] > 0 {
				v.NotRunButRan++
			}
		}
	}
}

// checkAnswer checks that a complete answer has the right output for each task, and
// that any other answer has no output.
func (v *Violations) checkAnswer(j Job) {
	a := j.Answer
	if a == nil {
		return
	}
	if a.GetState() != wire.JobState_complete {
		for _, t := range a.GetTasks() {
			if len(t.GetOutput()) > 0 {
				v.Partial++
				return
			}
		}
		return
	}
	if len(a.GetTasks()) != len(j.Inputs) || a.GetVerdict() != classifier.Ran {
		v.Partial++
		return
	}
	for i, t := range a.GetTasks() {
		want := append([]byte(j.taskID(i)+" "), j.Inputs[i]...)
		switch {
		case len(t.GetOutput()) == 0:
			v.Partial++
			return
		case !bytes.Equal(t.GetOutput(), want):
			v.WrongCaller++
			return
		}
	}
}
