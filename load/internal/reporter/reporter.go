// Package reporter measures one run of a scenario and prints the result.
//
// # Usage
//
//	r := reporter.Measure(ctx, scenario)
//	r.Print(os.Stdout, false)
package reporter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/dispatcher"
	"radishweir.org/lib/wire"
	"radishweir.org/load/internal/checker"
	"radishweir.org/load/internal/driver"
	"radishweir.org/load/internal/scheduler"
	"radishweir.org/load/internal/scraper"
)

// settleTime is the wait before the counters and the upstreams' records are read.
const settleTime = 500 * time.Millisecond

// histogramScale is the number of histogram units in 1: histograms store integers.
const histogramScale = 1000

// Quantiles are the 50th, 99th and 99.9th percentiles of a distribution.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
}

// Report is the result of one run.
type Report struct {
	Jobs             int            `json:"jobs"`
	Tasks            int            `json:"tasks"`
	Seconds          float64        `json:"seconds"`
	Complete         int            `json:"complete"`
	FailedNotRun     int            `json:"failed_not_run"`
	FailedMayHaveRun int            `json:"failed_may_have_run"`
	FailedRan        int            `json:"failed_ran"`
	NoAnswer         int            `json:"no_answer"`
	Canceled         int            `json:"canceled"`
	Resubmits        int            `json:"resubmissions"`
	ResponseMS       Quantiles      `json:"response_ms"`
	OverheadMS       Quantiles      `json:"overhead_ms"`
	OverIdle         Quantiles      `json:"response_over_idle"`
	OverReplay       Quantiles      `json:"response_over_replay"`
	WastedPerTask    float64        `json:"wasted_messages_per_task"`
	ForwardsPerJob   float64        `json:"forwards_per_job"`
	Messages         scraper.Counts `json:"messages"`
	// UnreadUpstreams is the number of upstreams whose records could not be read.
	UnreadUpstreams int                `json:"unread_upstreams"`
	Violations      checker.Violations `json:"broken"`
}

// Measure runs a scenario and reports the result.
func Measure(ctx context.Context, s *driver.Scenario) *Report {
	jobs := driver.Trace(s)
	before := scraper.Read(ctx, s.Operators)
	began := time.Now()
	results := driver.Run(ctx, s, jobs)
	r := &Report{Jobs: len(jobs), Seconds: time.Since(began).Seconds()}
	time.Sleep(settleTime)
	r.Messages = scraper.Read(ctx, s.Operators).Sub(before)
	starts, unread := checker.FetchStarts(ctx, s.Upstreams)
	r.UnreadUpstreams = unread
	var submitted []checker.Job
	for _, res := range results {
		submitted = append(submitted, res.Job)
	}
	r.Violations = checker.Check(submitted, starts, s.Repeatable)
	r.countOutcomes(results)
	r.compareWithIdeals(s, jobs, results)
	r.countWasted()
	return r
}

// countOutcomes counts the jobs by outcome.
func (r *Report) countOutcomes(results []driver.Result) {
	for _, res := range results {
		r.Tasks += len(res.Inputs)
		r.Resubmits += max(res.Attempts-1, 0)
		a := res.Answer
		switch {
		case res.Canceled:
			r.Canceled++
		case a == nil:
			r.NoAnswer++
		case a.GetState() == wire.JobState_complete:
			r.Complete++
		case a.GetVerdict() == classifier.NotRun:
			r.FailedNotRun++
		case a.GetVerdict() == classifier.Ran:
			r.FailedRan++
		default:
			r.FailedMayHaveRun++
		}
	}
}

// compareWithIdeals compares the response times with those of the two ideal
// schedulers.
func (r *Report) compareWithIdeals(s *driver.Scenario, jobs []driver.Job, results []driver.Result) {
	var slots []scheduler.Slots
	for _, v := range s.Speeds {
		slots = append(slots, scheduler.Slots{Speed: v, Count: s.Slots})
	}
	trace := make([]scheduler.Job, len(jobs))
	for i, j := range jobs {
		trace[i] = j.Job
	}
	replay := scheduler.Replay(slots, trace)
	var response, overhead, overIdle, overReplay distribution
	for i, res := range results {
		if jobs[i].At.Seconds() < s.WarmupSeconds || res.Canceled || res.Answer.GetState() != wire.JobState_complete {
			continue
		}
		idleResponse := scheduler.IdleResponse(slots, trace[i])
		response.add(res.Response.Seconds() * 1000)
		overhead.add((res.Response - idleResponse).Seconds() * 1000)
		overIdle.add(float64(res.Response) / float64(idleResponse))
		overReplay.add(float64(res.Response) / float64(replay[i]))
	}
	r.ResponseMS, r.OverheadMS = response.quantiles(), overhead.quantiles()
	r.OverIdle, r.OverReplay = overIdle.quantiles(), overReplay.quantiles()
}

// distribution is a histogram of non-negative numbers.
type distribution struct{ h *hdrhistogram.Histogram }

func (d *distribution) add(v float64) {
	if d.h == nil {
		d.h = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	}
	_ = d.h.RecordValue(int64(max(v, 0) * histogramScale))
}

func (d *distribution) quantiles() Quantiles {
	if d.h == nil {
		return Quantiles{}
	}
	at := func(p float64) float64 { return float64(d.h.ValueAtPercentile(p)) / histogramScale }
	return Quantiles{at(50), at(99), at(99.9)}
}

// countWasted computes the wasted messages per task and the forwards per job.
// Wasted are messages to upstreams other than starts, forwards that were not
// answered, and all messages about slots.
func (r *Report) countWasted() {
	wasted := 0.0
	for kind, n := range r.Messages.Upstream {
		if kind != dispatcher.MessageStart {
			wasted += n
		}
	}
	forwards := 0.0
	for result, n := range r.Messages.Forwards {
		forwards += n
		if result != "answered" {
			wasted += n
		}
	}
	for _, n := range r.Messages.Slots {
		wasted += n
	}
	r.WastedPerTask = wasted / float64(max(r.Tasks, 1))
	r.ForwardsPerJob = forwards / float64(max(r.Jobs, 1))
}

// Print writes the report as text, or as JSON.
func (r *Report) Print(w io.Writer, asJSON bool) {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(r)
		return
	}
	line := func(name string, q Quantiles) {
		fmt.Fprintf(w, "%-28s p50 %9.3f  p99 %9.3f  p99.9 %9.3f\n", name, q.P50, q.P99, q.P999)
	}
	fmt.Fprintf(w, "jobs %d  tasks %d  seconds %.1f  tasks/s %.0f\n", r.Jobs, r.Tasks, r.Seconds, float64(r.Tasks)/r.Seconds)
	fmt.Fprintf(w, "complete %d  not_run %d  may_have_run %d  ran_failed %d  no_answer %d  canceled %d  resubmissions %d\n",
		r.Complete, r.FailedNotRun, r.FailedMayHaveRun, r.FailedRan, r.NoAnswer, r.Canceled, r.Resubmits)
	line("response, ms", r.ResponseMS)
	line("response - idle ideal, ms", r.OverheadMS)
	line("response / idle ideal", r.OverIdle)
	line("response / omniscient replay", r.OverReplay)
	fmt.Fprintf(w, "wasted messages per task %.4f  forwards per job %.3f  upstream messages %v\n",
		r.WastedPerTask, r.ForwardsPerJob, r.Messages.Upstream)
	fmt.Fprintf(w, "slot messages %v\n", r.Messages.Slots)
	fmt.Fprintf(w, "entries: cpu %.2f s  largest memory %.1f MB  platform calls %.0f\n",
		r.Messages.CPUSeconds, r.Messages.Memory/(1<<20), r.Messages.Platform)
	fmt.Fprintf(w, "broken: started twice %d  partial %d  wrong caller %d  not_run that ran %d\n",
		r.Violations.StartedTwice, r.Violations.Partial, r.Violations.WrongCaller, r.Violations.NotRunButRan)
	if r.UnreadUpstreams > 0 {
		fmt.Fprintf(w, "upstreams whose records could not be read: %d\n", r.UnreadUpstreams)
	}
}
