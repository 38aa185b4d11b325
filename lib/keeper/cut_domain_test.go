package keeper_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"radishweir.org/lib/coordinator"
	"radishweir.org/lib/packer"
	"radishweir.org/lib/relinquisher"
	"radishweir.org/lib/runner"
	"radishweir.org/lib/wire"
)

// backgroundPrefix begins the tasks of best-effort jobs that keep the leases of upstreams alive.
const backgroundPrefix = "background"

// upstreamLink is the way from an entry to the upstreams.
type upstreamLink struct {
	runner.Client
	node *node
}

// call makes a call unless the upstream is out of reach. If it is, also when the answer comes, the
// call fails as ctx ends.
func (l upstreamLink) call(ctx context.Context, u runner.Upstream, do func() (runner.Report, error)) (runner.Report, error) {
	if l.isCut(u) {
		<-ctx.Done()
		return runner.Report{}, ctx.Err()
	}
	report, err := do()
	if l.isCut(u) {
		<-ctx.Done()
		return runner.Report{}, ctx.Err()
	}
	return report, err
}

// isCut reports whether the upstream is out of reach.
func (l upstreamLink) isCut(u runner.Upstream) bool {
	c := l.node.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isCutOff(c.domains[l.node.name]) != c.isCutOff(u.Domain)
}

func (l upstreamLink) Start(ctx context.Context, u runner.Upstream, o runner.Order) (runner.Report, error) {
	return l.call(ctx, u, func() (runner.Report, error) { return l.Client.Start(ctx, u, o) })
}

func (l upstreamLink) Stop(ctx context.Context, u runner.Upstream, o runner.Order) (runner.Report, error) {
	return l.call(ctx, u, func() (runner.Report, error) { return l.Client.Stop(ctx, u, o) })
}

func (l upstreamLink) Poll(ctx context.Context, u runner.Upstream, p runner.Poll) (runner.Report, error) {
	return l.call(ctx, u, func() (runner.Report, error) { return l.Client.Poll(ctx, u, p) })
}

// isCutOff reports whether a failure domain is cut off from the others and from the store; the
// caller holds the lock.
func (c *cluster) isCutOff(domain string) bool { return domain != "" && domain == c.cutOff }

// isRegistered reports whether the entry is registered, by its own clock if it is cut off from
// the store.
func (n *node) isRegistered() bool {
	c := n.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolated[n.name] || c.isCutOff(c.domains[n.name]) {
		return time.Since(n.cutAt) < registrationTTL
	}
	return c.registered[n.name] == n.incarnation
}

// renewableUntil returns the time up to which the entry may renew leases after its registration
// lapsed; zero while it is registered.
func (n *node) renewableUntil() time.Time {
	if n.isRegistered() || !n.cluster.isIsolated(n.name) {
		return time.Time{}
	}
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return relinquisher.Deadline(n.cutAt.Add(registrationTTL))
}

// newDividedCluster starts a cluster with one entry in each of the given failure domains, in
// order of the entries' names, and one upstream in each of the others. A domain with a question mark
// is that of an entry which is started later.
func newDividedCluster(t *testing.T, seed uint64, entries, upstreams []string) *cluster {
	c := newCluster(t, seed, 0, 0)
	c.domains = make(map[string]string)
	var started []string
	for i, domain := range entries {
		name := fmt.Sprintf("entry-%d", i+1)
		domain, later := strings.CutSuffix(domain, "?")
		if c.domains[name] = domain; !later {
			started = append(started, name)
		}
	}
	c.fleet.SetKept(func(task string) bool { return !background(task) })
	c.addUpstreams(upstreams...)
	for _, name := range started {
		c.start(name)
	}
	// Entries that have just started wait for departures that they may not have seen.
	time.Sleep(12 * time.Second)
	return c
}

// addUpstreams adds one upstream in each of the given failure domains.
func (c *cluster) addUpstreams(domains ...string) {
	n := len(c.fleet.List())
	for i, domain := range domains {
		c.fleet.Add(runner.Upstream{
			Name: fmt.Sprintf("u%02d", n+i), Service: "claims", Address: fmt.Sprintf("10.0.0.%d:8140", n+i+1), Incarnation: 1, Domain: domain,
			Capacity: packer.Amount{CPU: 24000, Memory: 65536}, Labels: runner.JoinLabels([]string{"domain-" + domain}),
		}, 1)
	}
	c.listUpstreams(c.fleet.List())
}

// listUpstreams makes all entries that reach the store read a list of upstreams.
func (c *cluster) listUpstreams(list []runner.Upstream) {
	c.mu.Lock()
	c.listed = list
	c.mu.Unlock()
	for _, n := range c.alive() {
		if !c.isIsolated(n.name) {
			n.SetUpstreams(list)
		}
	}
	c.assignUpstreams()
}

// keepBusy keeps the leases of a failure domain's upstreams alive with runs of best-effort jobs,
// which its entries request, until ctx ends.
func (c *cluster) keepBusy(ctx context.Context, domain string) {
	for i := 0; ctx.Err() == nil; i++ {
		for _, n := range c.alive() {
			if c.domains[n.name] != domain {
				continue
			}
			for _, s := range n.runner.States() {
				n.runner.Request(n.ctx, n.name, &wire.RunRequest{
					Upstream: s.GetUpstream(), Task: fmt.Sprintf("%s-%s-%d.0.0.0", backgroundPrefix, s.GetUpstream(), i), Run: 1, Amount: runner.AmountToWire(need), ExpectedMs: 400,
				})
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
}

// cutDomain cuts a failure domain, with its entries and upstreams, off from the others and from
// the store. The registrations of its entries and its upstreams expire.
func (c *cluster) cutDomain(domain string) {
	c.mu.Lock()
	c.cutOff, c.cutAt = domain, time.Now()
	for name, n := range c.nodes {
		if c.domains[name] == domain {
			n.cutAt = c.cutAt
		}
	}
	c.mu.Unlock()
	c.eachAcross(func(n, peer *node) {
		n.PeerDown(peer.name)
		n.keeper.ResendTo(peer.name)
		n.runner.Detach(peer.name)
	}, peerTimeout)
	for _, n := range c.alive() {
		if c.domains[n.name] != domain {
			continue
		}
		time.AfterFunc(registrationTTL, func() { c.lapse(n) })
		time.AfterFunc(holderTTL, func() {
			if c.isIsolated(n.name) && n.ctx.Err() == nil {
				c.loseHolder(n)
			}
		})
	}
	time.AfterFunc(3*1500*time.Millisecond, func() {
		if c.isDomainCut(domain) {
			c.listUpstreams(slices.DeleteFunc(c.fleet.List(), func(u runner.Upstream) bool { return u.Domain == domain }))
		}
	})
}

// isDomainCut reports whether a failure domain is cut off.
func (c *cluster) isDomainCut(domain string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isCutOff(domain)
}

// eachAcross calls f, after a delay, for each pair of running entries of which just one is cut
// off.
func (c *cluster) eachAcross(f func(n, peer *node), delay time.Duration) {
	nodes := c.alive()
	time.AfterFunc(delay, func() {
		for _, n := range nodes {
			for _, peer := range nodes {
				if n.ctx.Err() == nil && c.isIsolated(n.name) != c.isIsolated(peer.name) {
					f(n, peer)
				}
			}
		}
	})
}

// lapse ends the registration of an entry that is cut off. The entry stops the kept jobs' runs of
// requesters that it cannot reach.
func (c *cluster) lapse(n *node) {
	if !c.isIsolated(n.name) || n.ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	delete(c.registered, n.name)
	c.mu.Unlock()
	for name := range c.domains {
		if c.domains[name] != c.domains[n.name] {
			n.runner.CancelDetached(n.ctx, name, time.Now(), true)
		}
	}
	c.assignUpstreams()
	c.triggerReviews()
}

// loseHolder ends the lease of an entry's holder, which the entry notices.
func (c *cluster) loseHolder(n *node) {
	c.mu.Lock()
	delete(c.holders, n.holder)
	n.holder = ""
	c.mu.Unlock()
	n.keeper.AbandonOpenJobs()
	c.triggerReviews()
}

// healDomain ends the cut. The entries of the failure domain see that they are not registered and
// register again.
func (c *cluster) healDomain() {
	c.mu.Lock()
	domain := c.cutOff
	c.cutOff = ""
	c.mu.Unlock()
	c.listUpstreams(c.fleet.List())
	time.Sleep(20 * time.Millisecond)
	c.mu.Lock()
	for name, n := range c.nodes {
		if c.domains[name] == domain {
			c.registered[name] = n.incarnation
		}
	}
	c.mu.Unlock()
	nodes := c.alive()
	for _, n := range nodes {
		for _, peer := range nodes {
			if (c.domains[n.name] == domain) != (c.domains[peer.name] == domain) {
				n.PeerUp(peer.name, 2)
				n.runner.ResendEnds(peer.name)
			}
		}
	}
	c.assignUpstreams()
	for _, n := range nodes {
		c.mu.Lock()
		removed := n.holder != "" && !c.holders[n.holder]
		c.mu.Unlock()
		if removed {
			c.loseHolder(n)
		}
	}
	c.triggerReviews()
}

// stopAsPlanned stops an entry, which removes its registration and its holder.
func (c *cluster) stopAsPlanned(name string) {
	c.mu.Lock()
	n := c.nodes[name]
	delete(c.nodes, name)
	delete(c.registered, name)
	delete(c.holders, n.holder)
	c.mu.Unlock()
	n.cancel()
	for _, other := range c.alive() {
		other.PeerDown(name)
		other.keeper.ResendTo(name)
		other.runner.Detach(name)
	}
	c.assignUpstreams()
	c.triggerReviews()
}

// background reports whether a task is one of keepBusy.
func background(task string) bool { return strings.HasPrefix(task, backgroundPrefix) }

// setRunTime sets the run time of all tasks but those of keepBusy.
func (c *cluster) setRunTime(d time.Duration) {
	c.fleet.SetRunTime(func(task string) time.Duration {
		if background(task) {
			return 400 * time.Millisecond
		}
		return d
	})
}

// cutWithJob starts a divided cluster, cuts domain a off while the four tasks of a job are at work
// there that entry-1 of domain b holds, and adds upstreams in domain c. The tasks end as done after
// 1.5 s, while other runs keep the leases in domain a alive.
func cutWithJob(ctx context.Context, t *testing.T) *cluster {
	c := newDividedCluster(t, 61, []string{"b", "a", "c", "c"}, []string{"a", "a", "a"})
	go c.keepBusy(ctx, "a")
	c.setRunTime(4 * time.Second)
	if s := c.alive()[0].submit("a", 4); s != coordinator.Accepted {
		t.Fatalf("submitted job: state %v, want accepted", s)
	}
	time.Sleep(2500 * time.Millisecond)
	if n := len(slices.DeleteFunc(c.fleet.RunningTasks(), background)); n != 4 {
		t.Fatalf("%d tasks at work as the cut begins, want 4", n)
	}
	c.addUpstreams("c", "c", "c")
	c.cutDomain("a")
	return c
}

// removals are the ways in which entry-1, which holds the job of cutWithJob, leaves.
var removals = map[string]func(c *cluster){
	"stopped as planned": func(c *cluster) { c.stopAsPlanned("entry-1") },
	"killed and restarted": func(c *cluster) {
		c.kill("entry-1")
		time.Sleep(700 * time.Millisecond)
		c.start("entry-1")
	},
	"killed beside a planned stop": func(c *cluster) {
		c.stopAsPlanned("entry-3")
		c.kill("entry-1")
		time.Sleep(700 * time.Millisecond)
		c.start("entry-1")
	},
	"two planned stops": func(c *cluster) {
		c.stopAsPlanned("entry-1")
		c.stopAsPlanned("entry-4")
	},
}

// Guards against TWICE: tasks end as done in a failure domain that is cut off and whose leases go
// on, while the entry outside that holds their job is gone and the job is taken over.
func TestTakeoverWhileDomainIsCutOff(t *testing.T) {
	disturbances := map[string]func(c *cluster){
		"":                         func(*cluster) {},
		", an upstream crashes":    func(c *cluster) { c.fleet.Crash("u01") },
		", an upstream is removed": func(c *cluster) { c.fleet.Remove("u01") },
		", an owner restarts once the upstreams are unlisted": func(c *cluster) {
			nodes := c.alive()
			name := nodes[len(nodes)-1].name
			time.AfterFunc(time.Until(c.cutAt.Add(4700*time.Millisecond)), func() {
				c.kill(name)
				time.Sleep(300 * time.Millisecond)
				c.start(name)
			})
		},
		", the store is down": func(c *cluster) {
			c.store.setDown(true)
			time.AfterFunc(2*time.Second, func() { c.store.setDown(false) })
		},
	}
	for name, remove := range removals {
		for also, disturb := range disturbances {
			if also != "" && name != "two planned stops" && name != "killed and restarted" {
				// The other ways to leave are covered without a further disturbance.
				continue
			}
			t.Run(name+also, func(t *testing.T) {
				withFakeTime(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					c := cutWithJob(ctx, t)
					defer c.stop()
					time.Sleep(1800 * time.Millisecond)
					remove(c)
					disturb(c)
					time.Sleep(time.Until(c.cutAt.Add(6200 * time.Millisecond)))
					c.healDomain()
					c.checkJobs([]string{"a"}, nil, 30*time.Second)
					if n := c.fleet.Starts("a.0.0.0"); n > 1 && also == "" {
						t.Errorf("a task that was done was started %d times, want once", n)
					}
				})
			})
		}
	}
}

// Guards against LOST: a task waits for ever for an upstream that never returns. A job has to have
// something running 14 s after the last disturbance. Also guards against TWICE if the upstreams
// return after that: the ends that they list are void, as their leases have expired meanwhile.
func TestTakeoverWhileDomainStaysCutOff(t *testing.T) {
	for name, remove := range removals {
		for _, returns := range []bool{false, true} {
			if !returns && name != "stopped as planned" {
				continue
			}
			t.Run(fmt.Sprintf("%s, returns: %v", name, returns), func(t *testing.T) {
				withFakeTime(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					c := cutWithJob(ctx, t)
					defer c.stop()
					time.Sleep(1800 * time.Millisecond)
					remove(c)
					time.Sleep(14 * time.Second)
					if n := c.fleet.Starts("a.0.0.0"); n != 2 {
						t.Errorf("the task was started %d times 14 s after its holder was lost, want twice", n)
					}
					if returns {
						c.healDomain()
					}
					c.checkJobs([]string{"a"}, nil, 30*time.Second)
				})
			})
		}
	}
}

// Guards against TWICE: the key of a holder that is cut off with its upstreams is removed before its
// lease has ended, and others take over the jobs that it goes on running.
func TestTakeoverFromHolderThatIsCutOff(t *testing.T) {
	for name, length := range map[string]time.Duration{"short cut": 6200 * time.Millisecond, "long cut": 16 * time.Second} {
		t.Run(name, func(t *testing.T) {
			withFakeTime(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				c := newDividedCluster(t, 62, []string{"a", "a", "c", "c"}, []string{"a", "a", "a"})
				defer c.stop()
				go c.keepBusy(ctx, "a")
				c.setRunTime(5 * time.Second)
				n := c.alive()[0]
				if s := n.submit("a", 4); s != coordinator.Accepted {
					t.Fatalf("submitted job: state %v, want accepted", s)
				}
				time.Sleep(500 * time.Millisecond)
				c.addUpstreams("c", "c", "c")
				c.cutDomain("a")
				c.mu.Lock()
				delete(c.holders, n.holder)
				delete(c.registered, "entry-1")
				delete(c.registered, "entry-2")
				c.mu.Unlock()
				c.assignUpstreams()
				c.triggerReviews()
				time.Sleep(length)
				c.healDomain()
				c.checkJobs([]string{"a"}, nil, 30*time.Second)
			})
		})
	}
}

// Guards against TWICE: the entry of a failure domain registers as the domain of those that own its
// upstreams meanwhile is cut off, which know nothing of it. They take the upstreams' silence until
// the end of the lease for the loss of runs that end as done under the new owner.
func TestOwnersInBetweenAreCutOff(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newDividedCluster(t, 63, []string{"c", "a?", "c"}, []string{"a", "a", "a"})
		defer c.stop()
		go c.keepBusy(ctx, "a")
		c.setRunTime(4 * time.Second)
		if s := c.alive()[0].submit("a", 4); s != coordinator.Accepted {
			t.Fatalf("submitted job: state %v, want accepted", s)
		}
		time.Sleep(3800 * time.Millisecond)
		c.addUpstreams("c", "c", "c")
		c.cutDomain("c")
		c.start("entry-2")
		time.Sleep(3 * time.Second)
		c.healDomain()
		c.checkJobs([]string{"a"}, nil, 30*time.Second)
	})
}

// Guards against needless waits: the tasks of a lost holder's job were at work on upstreams that are
// reached, while the takeover waits for others. Their owners have stopped them, so nothing of the job
// can be left elsewhere.
func TestJobsOnReachedUpstreamsDoNotWaitForCutDomain(t *testing.T) {
	for name, remove := range removals {
		t.Run(name, func(t *testing.T) {
			withFakeTime(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				c := newDividedCluster(t, 64, []string{"b", "a", "c", "c"}, []string{"a", "a", "a", "c", "c", "c"})
				defer c.stop()
				go c.keepBusy(ctx, "a")
				c.setRunTime(9 * time.Second)
				for _, domain := range []string{"a", "c"} {
					j := job(domain, 4)
					for i := range j.Steps {
						j.Steps[i].Label = "domain-" + domain
					}
					j.Steps[1].Label = ""
					if s := c.alive()[0].keeper.Submit(t.Context(), j).State; s != coordinator.Accepted {
						t.Fatalf("submitted job: state %v, want accepted", s)
					}
				}
				time.Sleep(2500 * time.Millisecond)
				c.cutDomain("a")
				time.Sleep(1800 * time.Millisecond)
				remove(c)
				time.Sleep(time.Until(c.cutAt.Add(6 * time.Second)))
				if a, b := c.fleet.Starts("a.0.0.0"), c.fleet.Starts("c.0.0.0"); a != 1 || b != 2 {
					t.Errorf("%d and %d starts of tasks in the cut domain and outside, want 1 and 2", a, b)
				}
				time.Sleep(time.Until(c.cutAt.Add(6200 * time.Millisecond)))
				c.healDomain()
				// The runs of keepBusy take all places.
				cancel()
				c.checkJobs([]string{"a", "c"}, nil, 40*time.Second)
			})
		})
	}
}

// Guards against TWICE: an entry restarts as the cut of its failure domain ends, and answers a claim on
// its former holder before its upstreams are listed again, which list the ends of the holder's runs.
func TestUpstreamsAreListedAgainAfterClaimWasAnswered(t *testing.T) {
	withFakeTime(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newDividedCluster(t, 65, []string{"b", "a", "c", "c"}, []string{"a", "a", "a"})
		defer c.stop()
		go c.keepBusy(ctx, "a")
		c.setRunTime(4 * time.Second)
		if s := c.alive()[1].submit("a", 4); s != coordinator.Accepted {
			t.Fatalf("submitted job: state %v, want accepted", s)
		}
		time.Sleep(2500 * time.Millisecond)
		c.addUpstreams("c", "c", "c")
		c.cutDomain("a")
		time.Sleep(6100 * time.Millisecond)
		c.kill("entry-2")
		c.mu.Lock()
		c.cutOff = ""
		c.mu.Unlock()
		c.start("entry-2")
		time.Sleep(400 * time.Millisecond)
		c.listUpstreams(c.fleet.List())
		c.checkJobs([]string{"a"}, nil, 40*time.Second)
		if n := c.fleet.Starts("a.0.0.0"); n != 1 {
			t.Errorf("a task that was done was started %d times, want once", n)
		}
	})
}
