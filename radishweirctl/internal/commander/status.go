package commander

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"radishweir.org/lib/caller"
	"radishweir.org/lib/entry"
	"radishweir.org/lib/operator"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/wire"
)

// fetchTimeout limits the request for the status page of one entry.
const fetchTimeout = 2 * time.Second

// entryStatus is the status page of one registered entry, or the error of
// fetching it.
type entryStatus struct {
	name   string
	status operator.Status
	err    error
}

// revision returns the revision of a service's configuration that the entry has
// in force, or 0 if it has none.
func (f entryStatus) revision(service string) uint64 {
	for _, s := range f.status.Services {
		if s.Name == service {
			return s.Revision
		}
	}
	return 0
}

// lister lists the keys of a platform's store.
type lister interface {
	List(ctx context.Context, prefix string) (platform.Snapshot, error)
}

// fetchAll fetches the status pages of all registered entries.
func (c *Commander) fetchAll(ctx context.Context) ([]entryStatus, error) {
	return fetchEntries(ctx, c.store)
}

// fetchEntries fetches the status pages of the entries registered in a store.
func fetchEntries(ctx context.Context, store lister) ([]entryStatus, error) {
	snap, err := store.List(ctx, platform.EntryPrefix)
	if err != nil {
		return nil, err
	}
	out := make([]entryStatus, len(snap.KeyValues))
	var wg sync.WaitGroup
	for i, kv := range snap.KeyValues {
		g := &wire.Registration{}
		if protojson.Unmarshal(kv.Value, g) != nil {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
			defer cancel()
			st, err := operator.Fetch(ctx, g.GetOperatorAddress())
			out[i] = entryStatus{g.GetName(), st, err}
		})
	}
	wg.Wait()
	return out, nil
}

// status prints a row for each registered entry.
func (c *Commander) status(ctx context.Context) error {
	all, err := c.fetchAll(ctx)
	if err != nil {
		return err
	}
	var list []operator.Status
	rows := [][]string{{"ENTRY", "DOMAIN", "STATE", "PLATFORM", "JOBS", "SHARDS", "SERVICES"}}
	for _, f := range all {
		if f.err != nil {
			rows = append(rows, []string{f.name, "?", "unreachable", "?", "?", "?", "?"})
			continue
		}
		list = append(list, f.status)
		rows = append(rows, statusRow(f.status))
	}
	return c.print(list, rows)
}

// entryState returns the state of an entry as shown in tables.
func entryState(st operator.Status) string {
	switch {
	case st.Draining:
		return "draining"
	case !st.Ready:
		return "not ready"
	}
	return "ready"
}

// platformState returns the state of an entry's connection to the platform as
// shown in tables.
func platformState(st operator.Status) string {
	if !st.PlatformConnected {
		return "lost"
	}
	return "connected"
}

// statusRow returns the row of an entry in the status table.
func statusRow(st operator.Status) []string {
	state, connected := entryState(st), platformState(st)
	var services []string
	for _, s := range st.Services {
		services = append(services, fmt.Sprintf("%s@%d", s.Name, s.Revision))
	}
	shards := 0
	for _, t := range st.Shards {
		for _, o := range t.Owners {
			if o.Name == st.Name {
				shards += o.Shards
			}
		}
	}
	return []string{
		st.Name, st.FailureDomain, state, connected, strconv.Itoa(st.OpenJobs),
		strconv.Itoa(shards), strings.Join(services, ","),
	}
}

// vms prints the platform's VM list.
func (c *Commander) vms(ctx context.Context) error {
	list, err := c.store.VMs(ctx, 0)
	if err != nil {
		return err
	}
	rows := [][]string{{"VM", "ROLE", "GROUP", "DOMAIN", "ADDRESS", "STATE"}}
	for _, vm := range list.GetVms() {
		state := "live"
		if vm.GetLeaving() {
			state = "leaving"
		}
		rows = append(rows, []string{
			vm.GetName(), vm.GetRole(), vm.GetGroup(), vm.GetFailureDomain(), vm.GetAddress(), state,
		})
	}
	return c.print(list.GetVms(), rows)
}

// client returns a client for the entry and the token given by the flags.
func (c *Commander) client() (*caller.Client, error) {
	if c.entry == "" || c.service == "" || c.token == "" {
		return nil, &usageError{errors.New("--entry, --service and --token are required")}
	}
	return &caller.Client{Address: c.entry, Token: c.token, HTTP: http.DefaultClient}, nil
}

// jobShow prints the answer or the progress of a job.
func (c *Commander) jobShow(ctx context.Context) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	a, err := cl.Pull(ctx, c.service, c.job, false)
	if err != nil {
		return err
	}
	return c.printJob(a)
}

// jobCancel cancels a job.
func (c *Commander) jobCancel(ctx context.Context) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	a, err := cl.Cancel(ctx, c.service, c.job)
	if err != nil {
		return err
	}
	return c.printJob(a)
}

// jobRow holds the fields of a job that are printed.
type jobRow struct {
	JobID   string `json:"job_id"`
	State   string `json:"state"`
	Verdict string `json:"verdict"`
	Ended   uint32 `json:"ended_tasks"`
	Reason  string `json:"reason"`
}

func (c *Commander) printJob(a *wire.JobAnswer) error {
	j := jobRow{a.GetJobId(), a.GetState().String(), a.GetVerdict().String(), a.GetEndedTasks(), a.GetReason()}
	return c.print(j, [][]string{
		{"JOB", "STATE", "VERDICT", "ENDED TASKS", "REASON"},
		{j.JobID, j.State, j.Verdict, strconv.Itoa(int(j.Ended)), j.Reason},
	})
}

// keysIssue creates the keys for the connections between entries.
func (c *Commander) keysIssue(context.Context) error {
	if len(c.names) == 0 {
		return &usageError{errors.New("--names is required")}
	}
	return entry.IssueKeys(c.directory, c.names)
}
