// Package checker counts broken invariants from the upstreams' own records.
//
// # Usage
//
//	starts, unread := checker.FetchStarts(ctx, upstreams)
//	broken := checker.Check(jobs, starts, repeatable)
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

// Job is one job as its caller saw it.
type Job struct {
	// Tenant and ID name the job.
	Tenant, ID string
	// Inputs are the inputs of its tasks.
	Inputs [][]byte
	// Answer is the last answer; nil if there was none.
	Answer *wire.JobAnswer
	// AbandonedIDs are earlier identifiers of the job, which were refused as not_run.
	AbandonedIDs []string
	// Refused is true when the answer said not_run and no other try followed.
	Refused bool
}

// Violations counts broken invariants.
type Violations struct {
	StartedTwice int `json:"started_twice"`
	Partial      int `json:"partial_answer"`
	WrongCaller  int `json:"answer_to_the_wrong_caller"`
	NotRunButRan int `json:"not_run_that_ran"`
}

// Total is the number of all broken invariants.
func (b Violations) Total() int { return b.StartedTwice + b.Partial + b.WrongCaller + b.NotRunButRan }

// FetchStarts counts the recorded starts of each task over the upstreams. It also
// returns the number of upstreams that did not tell.
func FetchStarts(ctx context.Context, addresses []string) (starts map[string]int, unread int) {
	starts = make(map[string]int)
	for _, a := range addresses {
		if addStarts(ctx, a, starts) != nil {
			unread++
		}
	}
	return starts, unread
}

func addStarts(ctx context.Context, address string, out map[string]int) error {
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
		out[s.Task]++
	}
	return nil
}

// Check judges all jobs.
func Check(jobs []Job, starts map[string]int, repeatable bool) Violations {
	var b Violations
	for _, j := range jobs {
		b.checkAnswer(j)
		b.checkAbandoned(j, starts)
		for i := range j.Inputs {
			n := starts[j.taskID(i)]
			if n > 1 && !repeatable {
				b.StartedTwice++
			}
			if n > 0 && j.Refused {
				b.NotRunButRan++
			}
		}
	}
	return b
}

func (j Job) taskID(i int) string { return fmt.Sprintf("%s/%s/%d", j.Tenant, j.ID, i) }

// checkAbandoned judges the identifiers that a caller gave up after not_run.
func (b *Violations) checkAbandoned(j Job, starts map[string]int) {
	for _, id := range j.AbandonedIDs {
		j.ID = id
		for i := range j.Inputs {
			if starts[j.taskID(i)] > 0 {
				b.NotRunButRan++
			}
		}
	}
}

// checkAnswer judges one checkAnswer.
func (b *Violations) checkAnswer(j Job) {
	a := j.Answer
	if a == nil {
		return
	}
	if a.GetState() != wire.JobState_complete {
		for _, t := range a.GetTasks() {
			if len(t.GetOutput()) > 0 {
				b.Partial++
				return
			}
		}
		return
	}
	if len(a.GetTasks()) != len(j.Inputs) || a.GetVerdict() != classifier.Ran {
		b.Partial++
		return
	}
	for i, t := range a.GetTasks() {
		want := append([]byte(j.taskID(i)+" "), j.Inputs[i]...)
		switch {
		case len(t.GetOutput()) == 0:
			b.Partial++
			return
		case !bytes.Equal(t.GetOutput(), want):
			b.WrongCaller++
			return
		}
	}
}
