// Package driver sends jobs to the entries at the times of a seeded trace.
//
// The load is open-loop: each job is sent at its time in the trace, whether or
// not earlier ones were answered. A caller whose job was lost or refused submits
// it again with the next attempt number, as the rules for callers require.
//
// # Usage
//
//	jobs := driver.Trace(scenario)
//	results := driver.Run(ctx, scenario, jobs)
package driver

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"radishweir.org/lib/caller"
	"radishweir.org/lib/classifier"
	"radishweir.org/lib/upstream"
	"radishweir.org/lib/wire"
	"radishweir.org/load/internal/checker"
	"radishweir.org/load/internal/scheduler"
)

const (
	// deadlineGrace is how long after a job's deadline its caller stops waiting.
	deadlineGrace = 2 * time.Second
	// runTimeSigma is the standard deviation of the logarithm of run times.
	runTimeSigma = 0.8
	// maxConnsPerHost limits the idle connections to one entry and the connections
	// to one upstream.
	maxConnsPerHost = 4096
)

// Scenario describes one run of the load tool.
type Scenario struct {
	Entries        []string  `toml:"entries"`
	Operators      []string  `toml:"operators"`
	Upstreams      []string  `toml:"upstreams"`
	Speeds         []float64 `toml:"speeds"`
	Slots          int       `toml:"slots"`
	Service        string    `toml:"service"`
	Tokens         []string  `toml:"tokens"`
	Repeatable     bool      `toml:"repeatable"`
	Seed           int       `toml:"seed"`
	Load           float64   `toml:"load"`
	TasksPerSecond float64   `toml:"tasks_per_second"`
	Seconds        float64   `toml:"seconds"`
	// WarmupSeconds is the time at the start whose jobs are left out of the response
	// times.
	WarmupSeconds float64 `toml:"warmup_seconds"`
	MeanRunMS     float64 `toml:"mean_run_ms"`
	WideShare     float64 `toml:"wide_share"`
	WideTasks     int     `toml:"wide_tasks"`
	DeadlineMS    int     `toml:"deadline_ms"`
	// Direct sends single tasks straight to an upstream, as the baseline for the
	// overhead of the entries.
	Direct      bool    `toml:"direct"`
	IssuedShare float64 `toml:"issued_share"`
	GreedyShare float64 `toml:"greedy_share"`
	BurstFactor float64 `toml:"burst_factor"`
	CancelShare float64 `toml:"cancel_share"`
}

// Job is one job of the trace.
type Job struct {
	scheduler.Job
	// Tenant is the part of Token before its first dash.
	Tenant, Token string
	// Issued is true if the job's identifier is issued by an entry.
	Issued bool
	// Cancel is true if the caller cancels the job half way.
	Cancel bool
	number int
}

// Result is the outcome of one job.
type Result struct {
	checker.Job
	Response time.Duration
	Attempts int
	Canceled bool
}

// Capacity is the work that the upstreams can do per second, in seconds at speed 1.
func (s *Scenario) Capacity() float64 {
	sum := 0.0
	for _, v := range s.Speeds {
		sum += v * float64(s.Slots)
	}
	return sum
}

// meanTasks is the mean number of tasks of a job.
func (s *Scenario) meanTasks() float64 {
	return 1 - s.WideShare + s.WideShare*float64(s.WideTasks+1)/2
}

// JobRate is the number of jobs per second.
func (s *Scenario) JobRate() float64 {
	rate := s.TasksPerSecond
	if rate == 0 {
		rate = s.Load * s.Capacity() / (s.MeanRunMS / 1000)
	}
	return rate / s.meanTasks()
}

// Trace generates the jobs of a scenario from its seed.
func Trace(s *Scenario) []Job {
	r := rand.New(rand.NewPCG(uint64(s.Seed), 1))
	var out []Job
	at := 0.0
	for at < s.Seconds {
		at += r.ExpFloat64() / s.arrivalRate(at)
		out = append(out, s.drawJob(r, at, len(out)))
	}
	return out
}

// arrivalRate returns the jobs per second at a time of the run. In the middle
// fifth the rate is multiplied by BurstFactor.
func (s *Scenario) arrivalRate(at float64) float64 {
	if s.BurstFactor > 1 && at > 0.4*s.Seconds && at < 0.6*s.Seconds {
		return s.JobRate() * s.BurstFactor
	}
	return s.JobRate()
}

// drawJob draws the tasks and options of one job.
func (s *Scenario) drawJob(r *rand.Rand, at float64, number int) Job {
	n := 1
	if r.Float64() < s.WideShare {
		n = 1 + r.IntN(s.WideTasks)
	}
	j := Job{number: number, Token: s.drawToken(r), Issued: r.Float64() < s.IssuedShare, Cancel: r.Float64() < s.CancelShare}
	j.Tenant, _, _ = strings.Cut(j.Token, "-")
	j.At = time.Duration(at * float64(time.Second))
	for range n {
		us := s.MeanRunMS * 1000 * math.Exp(runTimeSigma*r.NormFloat64()-runTimeSigma*runTimeSigma/2)
		j.Runs = append(j.Runs, time.Duration(us)*time.Microsecond)
	}
	return j
}

// drawToken returns the first token with probability GreedyShare, otherwise any
// token at random.
func (s *Scenario) drawToken(r *rand.Rand) string {
	if r.Float64() < s.GreedyShare {
		return s.Tokens[0]
	}
	return s.Tokens[r.IntN(len(s.Tokens))]
}

// driver sends the jobs of a scenario over connections that all callers share.
type driver struct {
	*Scenario
	http      *http.Client
	upstreams *upstream.Client
	runID     string
}

// Run sends all jobs and waits until each is answered or abandoned.
func Run(ctx context.Context, s *Scenario, jobs []Job) []Result {
	d := &driver{Scenario: s, upstreams: upstream.NewClient(maxConnsPerHost), runID: strconv.FormatInt(time.Now().UnixNano(), 36), http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxConnsPerHost, MaxIdleConns: 0,
	}}}
	out := make([]Result, len(jobs))
	var wg sync.WaitGroup
	began := time.Now()
	for i, j := range jobs {
		time.Sleep(time.Until(began.Add(j.At)))
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { out[i] = d.send(ctx, j, began.Add(j.At)) })
	}
	wg.Wait()
	return out
}

// send submits one job, again if needed, until it has a final answer or its caller
// stops waiting.
func (d *driver) send(ctx context.Context, j Job, at time.Time) Result {
	deadline := at.Add(time.Duration(d.DeadlineMS) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(deadlineGrace))
	defer cancel()
	req := d.request(j, deadline)
	res := Result{Job: checker.Job{Tenant: j.Tenant, ID: req.GetJobId()}}
	for _, t := range req.GetTasks() {
		res.Inputs = append(res.Inputs, t.GetInput())
	}
	if d.Direct {
		return d.sendDirect(ctx, req, res, at)
	}
	if j.Issued && !d.issue(ctx, j, req) {
		return res
	}
	res.ID = req.GetJobId()
	if j.Cancel {
		go d.cancel(ctx, j, req)
		res.Canceled = true
	}
	for ctx.Err() == nil {
		again, wait := d.attempt(ctx, j, req, &res)
		if !again {
			break
		}
		req.Attempt++
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	res.Response = time.Since(at)
	return res
}

// request builds the submission of a job.
func (d *driver) request(j Job, deadline time.Time) *wire.JobRequest {
	req := &wire.JobRequest{
		JobId: fmt.Sprintf("job-%s-%d", d.runID, j.number), Service: d.Service,
		Deadline: timestamppb.New(deadline), Attempt: 1,
	}
	for _, r := range j.Runs {
		req.Tasks = append(req.Tasks, &wire.Task{Input: []byte(strconv.FormatInt(r.Microseconds(), 10))})
	}
	return req
}

// client returns a client for a random entry, as a load balancer would pick it.
func (d *driver) client(j Job) *caller.Client {
	return &caller.Client{Address: d.Entries[rand.IntN(len(d.Entries))], Token: j.Token, HTTP: d.http}
}

// issue replaces the job's identifier by one that an entry issues. It reports
// false if none was issued before the caller stops waiting.
func (d *driver) issue(ctx context.Context, j Job, req *wire.JobRequest) bool {
	for ctx.Err() == nil {
		ids, err := d.client(j).Issue(ctx, d.Service, 1)
		if err == nil && len(ids) == 1 {
			req.JobId = ids[0]
			return true
		}
		time.Sleep(retryPause)
	}
	return false
}

// retryPause is how long a caller waits before a retry if it got no answer.
const retryPause = 100 * time.Millisecond

// attempt submits a job once. It reports whether and after which wait to submit it
// again.
func (d *driver) attempt(ctx context.Context, j Job, req *wire.JobRequest, res *Result) (again bool, wait time.Duration) {
	res.Attempts++
	a, err := d.client(j).Submit(ctx, req, true)
	var status *caller.StatusError
	switch {
	case errors.As(err, &status):
		return status.Status == http.StatusServiceUnavailable, retryPause
	case failedBeforeSend(err):
		req.Attempt--
		return true, retryPause
	case err != nil:
		return true, retryPause
	}
	res.Answer = a
	res.Refused = a.GetState() == wire.JobState_failed && a.GetVerdict() == classifier.NotRun
	if !res.Refused || a.GetRetryAfterMs() == 0 || res.Canceled {
		return false, 0
	}
	if fresh := a.GetFreshJobId(); fresh != "" {
		res.AbandonedIDs = append(res.AbandonedIDs, res.ID)
		req.JobId, req.Attempt, res.ID = fresh, 0, fresh
		return true, 0
	}
	return true, time.Duration(a.GetRetryAfterMs()) * time.Millisecond
}

// failedBeforeSend reports whether a submission failed before it was sent, so that
// its attempt number can be used again.
func failedBeforeSend(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// cancel cancels a job half way through its ideal run.
func (d *driver) cancel(ctx context.Context, j Job, req *wire.JobRequest) {
	time.Sleep(time.Duration(d.MeanRunMS/2) * time.Millisecond)
	_, _ = d.client(j).Cancel(ctx, d.Service, req.GetJobId())
}
