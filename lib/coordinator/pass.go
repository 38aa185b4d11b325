package coordinator

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"radishweir.org/lib/packer"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/wire"
)

const (
	// maxPassInterval is the longest time between two passes.
	maxPassInterval = time.Second
	// minPassDelay is the shortest time until a timed pass.
	minPassDelay = time.Millisecond
	// minPassInterval is the shortest time between two passes; a small part of the
	// round trip to an upstream, and of the duration of a pass on a slow VM.
	minPassInterval = 2 * time.Millisecond
	// maxPassShare is the largest share of the time that passes may take, unless
	// maxPassGap has gone by since the last one.
	maxPassShare = 0.2
	maxPassGap   = 40 * time.Millisecond
	// startMargin covers the round trip of an order to an upstream.
	startMargin = 5 * time.Millisecond
	// runNumberGap is added to the number of a task's last run after an upstream
	// refused the run because it had seen a higher number.
	runNumberGap = 8
	// minRetryAfter is the shortest time after which a refused caller is told
	// to retry. To it are added the expected wait, up to maxRetryWait, and a
	// random time up to retryJitter.
	minRetryAfter = time.Second
	maxRetryWait  = 10 * time.Second
	retryJitter   = time.Second
	// maxWaitRatio is the ratio of the expected wait to the remaining time
	// above which a job is refused; it exceeds 1 because the expected wait is a
	// rough estimate.
	maxWaitRatio = 1.5
	// probeInterval is the time between two jobs of a service that start although the
	// measured run times say that they end late. A refused caller comes back no sooner.
	probeInterval = time.Second
	// packingShare is the share of a fleet's cores that tasks of uneven size fill.
	packingShare = 0.7
	// noLargeUpstream is the reason of the refusal of a job with tasks that fit no
	// upstream.
	noLargeUpstream = "no upstream is large enough"
	// minStartRate is a lower bound in cores that keeps the expected wait finite.
	minStartRate = 0.001
)

// retryAfter returns when a caller refused because of a wait may retry; the random
// part keeps callers from retrying all at once.
func retryAfter(wait time.Duration) time.Duration {
	return minRetryAfter + min(wait, maxRetryWait) + rand.N(retryJitter)
}

// backlog returns the expected time until all waiting jobs are started, without those
// that no upstream can hold now; the caller holds the lock.
func (c *Coordinator) backlog() time.Duration {
	sum := 0.0
	for _, j := range c.waiting {
		if j.fitsUpstreams() {
			sum += workOf(&j.Job)
		}
	}
	return time.Duration(sum / max(c.startRate, minStartRate) * float64(time.Second))
}

// Pass places the waiting tasks that fit, refuses the jobs that can no longer be
// answered in time, and returns the time until the next pass is due.
func (c *Coordinator) Pass(now time.Time) time.Duration {
	c.mu.Lock()
	out := c.updateHolder()
	out = append(out, c.reviewSuspects(now)...)
	out = append(out, c.answerExpired(now)...)
	out = append(out, c.endLostRuns(now)...)
	out = append(out, c.endUnlistedRuns(now)...)
	if now.Sub(c.fleetSeenAt) >= fleetInterval {
		out = append(out, c.endRunsAtVanished(now)...)
	}
	// The snapshots cover the tasks that wait by now.
	c.takeSnapshots(now)
	c.short, c.placedInPass = now.Sub(c.shortAt) < shortageMemory, 0
	c.logMargin(now)
	out = append(out, c.placeStarted(now)...)
	out = append(out, c.startWaiting(now)...)
	next := c.untilNextPass(now)
	c.enqueueMessages(out)
	c.mu.Unlock()
	c.sendQueued()
	return next
}

// answerExpired answers the jobs whose callers' deadlines have passed.
func (c *Coordinator) answerExpired(now time.Time) []message {
	var out []message
	for _, j := range c.jobs {
		if j.kept() || now.Before(j.Deadline) {
			continue
		}
		a := Answer{State: Expired, Reason: "the caller's deadline passed"}
		if c.limitedByStop(j) {
			a.Reason = stopReason
		}
		if !j.started && j.delegate == "" {
			a.State, a.RetryAfter = Refused, retryAfter(c.backlog())
		}
		out = append(out, c.close(j, a)...)
	}
	return out
}

// placeStarted places the waiting tasks of started jobs, the earliest due first.
func (c *Coordinator) placeStarted(now time.Time) []message {
	var list []*job
	for _, j := range c.jobs {
		if c.suspended(j) {
			continue
		}
		if j.started && j.hasWaitingTasks() {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.ID, b.ID)) })
	var out []message
	for _, j := range list {
		fullStep := -1
		for _, t := range j.waitingTasks() {
			remaining := j.Deadline.Sub(now)
			if j.kept() {
				remaining = lateKeptRemaining
			}
			if t.stepIndex == fullStep && !t.isSuspect() {
				continue
			}
			chosen := c.chooseForTask(t, remaining, now)
			if len(chosen) == 0 {
				if !t.isSuspect() {
					// The other tasks of this step are equal, so they don't fit either.
					fullStep = t.stepIndex
				}
				continue
			}
			if j.abandoned() {
				out = append(out, c.close(j, callerGone)...)
				break
			}
			out = append(out, c.place([]*task{t}, chosen, now)...)
		}
	}
	return out
}

// chooseForTask returns an upstream for a task of a started job, or none.
func (c *Coordinator) chooseForTask(t *task, remaining time.Duration, now time.Time) []string {
	if t.isSuspect() {
		return c.chooseForSuspect(t, remaining, now)
	}
	chosen := c.chooseFor(t.job, t.stepIndex, t.avoid, 1, remaining)
	if len(chosen) == 0 && len(t.avoid) > 0 {
		chosen = c.chooseFor(t.job, t.stepIndex, nil, 1, remaining)
	}
	return chosen
}

// startWaiting starts the waiting jobs that fit, by rank, and refuses those that
// can't be answered in time.
func (c *Coordinator) startWaiting(now time.Time) []message {
	if len(c.waiting) == 0 {
		return nil
	}
	var out []message
	ahead, rate := 0.0, c.startRate
	c.sortWaiting()
	for _, j := range slices.Clone(c.waiting) {
		if c.suspended(j) {
			continue
		}
		fits := j.fitsUpstreams()
		if !fits && !j.kept() {
			out = append(out, c.close(j, Answer{State: Refused, Reason: noLargeUpstream, RetryAfter: maxRetryWait})...)
			continue
		}
		remaining := j.effectiveDue().Sub(now) - startMargin
		slack := remaining - c.shortestTimeToEnd(j)
		if c.lag > 0 {
			// An entry that is short of CPU time hands on jobs for which there is capacity.
			if list, ok := c.delegate(j, slack, 0, now); ok {
				out = append(out, list...)
				continue
			}
		}
		if remaining < c.shortestTimeToEnd(j) && j.kept() {
			remaining = lateKeptRemaining
		}
		if remaining < c.shortestTimeToEnd(j) && c.isProbe(j, remaining, now) {
			remaining = j.Deadline.Sub(now)
		}
		if remaining < c.shortestTimeToEnd(j) {
			c.refusedAt = now
			out = append(out, c.close(j, c.refusal(j, "no room in time", c.backlog()))...)
			continue
		}
		tasks := tasksOfFirstStep(j.waitingTasks())
		var chosen []string
		if !c.throttled(j, len(tasks), now) {
			chosen = c.chooseUpstreams(j, tasks, remaining, now)
		}
		if len(chosen) == 0 && !fits {
			continue
		}
		if len(chosen) == 0 {
			ahead += workOf(&j.Job)
			wait := time.Duration(ahead / rate * float64(time.Second))
			c.shortAt = now
			if list, ok := c.delegate(j, slack, c.waitHere(j, slack, wait, now), now); ok {
				ahead -= workOf(&j.Job)
				out = append(out, list...)
				continue
			}
			if !j.kept() && wait.Seconds() > maxWaitRatio*(remaining-c.shortestTimeToEnd(j)).Seconds() {
				c.refusedAt = now
				out = append(out, c.close(j, c.refusal(j, "the queue is too long", wait))...)
			}
			continue
		}
		if j.abandoned() {
			out = append(out, c.close(j, callerGone)...)
			continue
		}
		out = append(out, c.place(tasks, chosen, now)...)
		c.countStartDelay(j, now)
		j.started = true
		if i := slices.Index(c.waiting, j); i >= 0 {
			c.waiting = slices.Delete(c.waiting, i, i+1)
		}
	}
	return out
}

// isProbe reports whether a job that is late only by the measured run times starts all the
// same, so that these are measured again. Its caller must still be there when it ends.
func (c *Coordinator) isProbe(j *job, remaining time.Duration, now time.Time) bool {
	return remaining >= j.expectedRemaining() && j.Deadline.Sub(now) >= c.shortestTimeToEnd(j) && c.probes.Allow(j.Service, now)
}

// throttled reports whether a job must not begin now, so that capacity is left for jobs
// that have begun and for the most urgent ones.
func (c *Coordinator) throttled(j *job, tasks int, now time.Time) bool {
	margin := c.Throttle.Margin(now)
	if margin == 0 || j.kept() {
		return false
	}
	if lowest, highest := c.priorityRange(j.Service); lowest < highest && j.Priority <= lowest {
		return false
	}
	v := c.snapshots[j.Service]
	if v == nil {
		return false
	}
	free, total := c.places(v, j.Steps[0].Need)
	return float64(free-c.placedInPass-tasks) < margin*float64(total)
}

// logMarginAt is the margin from which a shortage is worth a log line.
const logMarginAt = 0.05

// logMargin logs when new jobs begin to leave capacity free, and when that ends. The
// caller holds the lock.
func (c *Coordinator) logMargin(now time.Time) {
	switch margin := c.Throttle.Margin(now); {
	case margin >= logMarginAt && !c.marginLogged:
		c.marginLogged = true
		c.Log.Info().Float64("margin", margin).Int("waiting", len(c.waiting)).Msg("start_margin_raised")
	case margin == 0 && c.marginLogged:
		c.marginLogged = false
		c.Log.Info().Msg("start_margin_zero")
	}
}

// StartMargin returns the share of the near capacity that new jobs leave free.
func (c *Coordinator) StartMargin() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Throttle.Margin(time.Now())
}

// priorityRange returns the lowest and the highest priority number of the queues of a
// service that have had jobs; the lowest is the most urgent.
func (c *Coordinator) priorityRange(service string) (lowest, highest int) {
	lowest = math.MaxInt
	for _, k := range c.kinds {
		if k.service == service {
			lowest, highest = min(lowest, k.priority), max(highest, k.priority)
		}
	}
	return lowest, highest
}

// tasksOfFirstStep returns the tasks of the same step as the first task. Other steps
// that are ready follow in the next pass, as the job is started by then.
func tasksOfFirstStep(tasks []*task) []*task {
	n := 0
	for n < len(tasks) && tasks[n].stepIndex == tasks[0].stepIndex {
		n++
	}
	return tasks[:n]
}

// chooseUpstreams returns upstreams for the tasks of a step that can start now. It
// returns none unless all tasks fit, or capacity for the others is expected to come
// free soon enough. A started job goes before all waiting ones, so that jobs of many
// tasks are not starved by jobs of few.
func (c *Coordinator) chooseUpstreams(j *job, tasks []*task, remaining time.Duration, now time.Time) []string {
	if len(tasks) == 0 {
		return nil
	}
	st := tasks[0].step()
	chosen := c.chooseFor(j, tasks[0].stepIndex, nil, len(tasks), remaining)
	if len(chosen) == 0 || len(chosen) == len(tasks) {
		return chosen
	}
	cores := float64(st.Need.CPU) / 1000
	missingCores := c.coresForStarted() + float64(len(tasks)-len(chosen))*cores
	rate := max(c.startedCores.rate(now), minStartRate)
	if j.kept() {
		// A kept job has to run also on an idle fleet, where only its own tasks make
		// capacity come free.
		rate = max(rate, float64(len(chosen))*cores/st.expected().Seconds())
	}
	wait := missingCores / rate
	if wait > (remaining - c.shortestTimeToEnd(j)).Seconds() {
		return nil
	}
	return chosen
}

// chooseFor returns upstreams for up to n tasks of a job's step. Far upstreams are
// considered only if the near ones do not suffice.
func (c *Coordinator) chooseFor(j *job, step int, avoid map[string]bool, n int, remaining time.Duration) []string {
	v := c.snapshots[j.Service]
	if v == nil {
		return nil
	}
	need := j.Steps[step].Need
	list := c.candidates(c.candidateBuf[:0], v.near, j, step, avoid, n, remaining)
	chosen := c.pack(n, need, list)
	if len(chosen) < n && len(v.far) > 0 {
		list = c.candidates(list, c.reachableFar(v), j, step, avoid, n, remaining)
		chosen = c.pack(n, need, list)
	}
	c.candidateBuf = list
	return chosen
}

// pack chooses upstreams among the candidates.
func (c *Coordinator) pack(n int, need packer.Amount, list []packer.Candidate) []string {
	if c.TightPacking && c.short {
		return packer.PackTight(n, need, list, &c.sizes)
	}
	return packer.Pack(n, need, list)
}

// coresForStarted returns the cores that the waiting tasks of started jobs need, without
// those that no upstream can hold now.
func (c *Coordinator) coresForStarted() float64 {
	sum := 0.0
	for _, j := range c.jobs {
		if j.started {
			for _, t := range j.tasks {
				if t.isWaiting() && j.fits[t.stepIndex] {
					sum += float64(t.step().Need.CPU) / 1000
				}
			}
		}
	}
	return sum
}

// place assigns the first tasks to the chosen upstreams, one each.
func (c *Coordinator) place(tasks []*task, chosen []string, now time.Time) []message {
	var out []message
	if len(chosen) > 0 {
		c.sizes.Add(tasks[0].step().Need.CPU)
	}
	for i, name := range chosen {
		out = append(out, c.placeOn(tasks[i], c.upstreams[name], now)...)
	}
	return out
}

// placeOn assigns a task to an upstream.
func (c *Coordinator) placeOn(t *task, s *upstreamState, now time.Time) []message {
	j, st := t.job, t.step()
	t.run++
	t.upstream, t.owner, t.ownedAt, t.placed = s.Name, s.owner, now, true
	t.formerOwners = nil
	t.incarnation, t.reserved = s.latestIncarnation(), st.Need
	if t.isolated {
		t.reserved = s.Capacity
	}
	if l := c.peers[s.owner]; l != nil {
		l.usedUntil = now.Add(farPeerPeriod)
	}
	j.placed++
	c.placedInPass++
	c.Throttle.Sent(now, 1)
	if j.firstPlacedAt.IsZero() || j.firstPlacedAt.Equal(now) {
		j.firstPlacedAt = now
		j.placedAtOnce++
	}
	j.lastPlacedAt = now
	c.countStart(t, 1, now)
	if c.Observer != nil {
		c.Observer.Placed(s.owner == c.Self, s.Domain == c.Domain)
	}
	if m, ok := c.runRequest(t, false); ok {
		return []message{m}
	}
	return nil
}

// countStart adds the start of a task to the rates of started work, or with sign -1
// takes it back.
func (c *Coordinator) countStart(t *task, sign float64, now time.Time) {
	st := t.step()
	c.startedWork.add(now, sign*st.work()/float64(st.Tasks))
	c.startedCores.add(now, sign*float64(st.Need.CPU)/1000)
}

// runRequest builds the run request for a placed task, or with attach one that asks
// only for the end of its run. It reports false while the owner cannot be reached.
// The caller holds the lock.
func (c *Coordinator) runRequest(t *task, attach bool) (message, bool) {
	j, st, s := t.job, t.step(), c.upstreams[t.upstream]
	t.sequence++
	q := &wire.RunRequest{
		Upstream: t.upstream, Task: t.name(), Run: t.run, Sequence: t.sequence, Amount: runner.AmountToWire(t.reserved),
		ExpectedMs: float64(c.expectedOn(st, s).Microseconds()) / 1000, Attach: attach, Holder: j.Holder,
	}
	if c.Interference != nil {
		q.Kind = j.taskKind(t.stepIndex)
	}
	if !attach {
		q.Spec = j.Spec
	}
	if t.owner != c.Self {
		l := c.peers[t.owner]
		if l == nil || !l.up {
			return message{}, false
		}
		l.lastNumber++
		if !attach && s != nil {
			s.inFlight = s.inFlight.Plus(t.reserved)
			l.inFlight = append(l.inFlight, sentRequest{l.lastNumber, s, t.reserved})
		}
	} else if !attach && s != nil {
		// This entry's runner reports the upstream's new state soon; until then the
		// capacity is reserved here.
		s.free = s.free.Minus(t.reserved)
	}
	return message{owner: t.owner, request: q}, true
}

// expectedOn returns the expected run time of a task on an upstream that is of
// average speed and as near to the task's data as s. The owner of s measures its
// slowness against this time, so remote data does not count as slowness.
func (c *Coordinator) expectedOn(st *Step, s *upstreamState) time.Duration {
	if st.Data != "" && s != nil && !s.HasLabel(st.Data) {
		return time.Duration(float64(st.expected()) * max(c.FarFactor, 1))
	}
	return st.expected()
}

// RunEnded handles the end of a run that an entry reports. An end that the upstream
// did not list is accepted only from the current owner of the upstream, as the answer to
// the latest request for the run.
func (c *Coordinator) RunEnded(owner string, e *wire.RunEnd) {
	c.mu.Lock()
	var out []message
	switch t := c.placedTask(e); {
	case t != nil && (reportedByUpstream(e.GetCause()) || t.isAnswer(owner, e)):
		if e.GetCause() == wire.RunEnd_lost && e.GetBegun() {
			c.recordLoss(t, time.Now())
		}
		c.logGivenUp(t, e.GetCause(), reportedByOwner)
		out = c.handleEnd(t, e)
	case t == nil && c.Keeper != nil && isResult(e.GetCause()):
		c.reportOrphanedEnd(e)
	}
	c.enqueueMessages(out)
	c.mu.Unlock()
	c.sendQueued()
	c.Wake()
}

// isAnswer reports whether an end is an owner's answer to the latest request for the run.
// What the owner concluded before may not hold any more, as another one may have owned the
// upstream in between.
func (t *task) isAnswer(owner string, e *wire.RunEnd) bool {
	// Entries of an earlier release name no sequence.
	return t.owner == owner && (e.GetSequence() == 0 || e.GetSequence() == t.sequence)
}

// reportedByUpstream reports whether the upstream itself reported an end with
// this cause.
func reportedByUpstream(cause wire.RunEnd_Cause) bool {
	return cause == wire.RunEnd_done || cause == wire.RunEnd_failed || cause == wire.RunEnd_stopped
}

// handleEnd handles the end of a task's run; the caller holds the lock.
func (c *Coordinator) handleEnd(t *task, e *wire.RunEnd) []message {
	j := t.job
	t.placed = false
	j.placed--
	switch e.GetCause() {
	case wire.RunEnd_done:
		j.ran = true
		j.markDone(t)
		c.reportTaskEnd(t, e)
		if j.done == len(j.tasks) {
			return c.endJob(j, Answer{State: Complete})
		}
	case wire.RunEnd_failed:
		j.ran = true
		t.failures++
		c.reportTaskEnd(t, e)
		t.avoidUpstream(e.GetUpstream())
		if t.failures >= max(j.MaxFailures, 1) {
			return c.endJob(j, Answer{State: Failed, Reason: failedTooOftenReason})
		}
	case wire.RunEnd_stopped, wire.RunEnd_lost:
		j.ran = true
		t.avoidUpstream(e.GetUpstream())
	case wire.RunEnd_no_room:
		j.rejected++
		c.Throttle.Rejected(time.Now(), 1)
		if c.Throttle.Enabled {
			c.countStart(t, -1, time.Now())
		}
	case wire.RunEnd_superseded:
		// A run for another entry may be at work.
		j.ran = true
		t.run += runNumberGap
	case wire.RunEnd_refused:
		t.avoidUpstream(e.GetUpstream())
	}
	if c.Observer != nil && e.GetCause() != wire.RunEnd_done {
		c.Observer.Retry(e.GetCause().String())
	}
	c.requeueIfNotRun(j)
	return nil
}

// requeueIfNotRun puts a started job back among the waiting ones if certainly
// none of its tasks ran; the caller holds the lock.
func (c *Coordinator) requeueIfNotRun(j *job) {
	if j.started && !j.ran && j.placed == 0 {
		j.started = false
		c.waiting = append(c.waiting, j)
	}
}

// avoidUpstream records an upstream on which a run of the task did not succeed.
func (t *task) avoidUpstream(upstream string) {
	if t.avoid == nil {
		t.avoid = make(map[string]bool)
	}
	t.avoid[upstream] = true
}

// ParseTask splits a task's name at upstreams into its job, step and index.
func ParseTask(name string) (job string, step, index int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return parts[0], 0, 0, false
	}
	step, stepErr := strconv.Atoi(parts[2])
	index, indexErr := strconv.Atoi(parts[3])
	return parts[0], step, index, stepErr == nil && indexErr == nil && step >= 0 && index >= 0
}

// placedTask returns the placed task whose run ended, or nil if there is none.
func (c *Coordinator) placedTask(e *wire.RunEnd) *task {
	id, step, i, ok := ParseTask(e.GetTask())
	j := c.jobs[id]
	if !ok || j == nil || step >= len(j.Steps) || i >= j.Steps[step].Tasks {
		return nil
	}
	t := j.tasks[j.firstTask[step]+i]
	if !t.placed || t.run != e.GetRun() || t.upstream != e.GetUpstream() {
		return nil
	}
	return t
}

// untilNextPass returns the time until the next pass is due: a waiting job becomes
// too late or is expected to, a caller's deadline passes, or the runs at a silent peer are over.
func (c *Coordinator) untilNextPass(now time.Time) time.Duration {
	next := now.Add(maxPassInterval)
	for _, j := range c.waiting {
		if j.kept() {
			continue
		}
		latest := j.effectiveDue().Add(-startMargin - c.shortestTimeToEnd(j))
		if latest.Before(next) {
			next = latest
		}
		if at := delegateAt(j, latest); c.Delegation.Enabled && j.delegable() && at.After(now) && at.Before(next) {
			next = at
		}
	}
	for _, j := range c.jobs {
		if !j.kept() && j.Deadline.Before(next) {
			next = j.Deadline
		}
	}
	for _, l := range c.peers {
		if !l.up && !l.runsLostAt.IsZero() && l.runsLostAt.Before(next) {
			next = l.runsLostAt
		}
	}
	return max(next.Sub(now), minPassDelay)
}
