package commander

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"radishweir.org/lib/loader"
	"radishweir.org/lib/operator"
	adapter "radishweir.org/platform"
	"radishweir.org/radishweirctl/internal/explainer"
)

// fetchLeased fetches the status pages of the entries on leased upstreams.
func (c *Commander) fetchLeased(ctx context.Context) ([]entryStatus, error) {
	if err := loader.Addresses(c.PlatformAddresses); err != nil {
		return nil, &usageError{errors.Errorf("--platform: %v", err)}
	}
	return fetchEntries(ctx, adapter.NewClient(c.PlatformAddresses[0], nil))
}

// leasedStatus prints a row for each entry, with the age of its last contact with
// the platform and of its list of upstreams.
func (c *Commander) leasedStatus(ctx context.Context) error {
	all, err := c.fetchLeased(ctx)
	if err != nil {
		return err
	}
	var list []operator.Status
	rows := [][]string{{"ENTRY", "DOMAIN", "STATE", "PLATFORM", "HEARD", "CONFIGURATION", "LIST READ", "PEERS", "OWNS", "JOBS", "WAITING"}}
	for _, f := range all {
		if f.err != nil || f.status.Leased == nil {
			rows = append(rows, append([]string{f.name, "?", "unreachable"}, slices.Repeat([]string{"?"}, len(rows[0])-3)...))
			continue
		}
		list = append(list, f.status)
		rows = append(rows, leasedRow(f.status))
	}
	return c.print(list, rows)
}

// leasedRow returns the row of an entry in the table of leasedStatus.
func leasedRow(st operator.Status) []string {
	l, up, owned := st.Leased, 0, 0
	for _, m := range st.Members {
		if m.Reachable {
			up++
		}
	}
	for _, u := range l.Upstreams {
		if u.Owner == st.Name {
			owned++
		}
	}
	return []string{
		st.Name, st.FailureDomain, entryState(st), platformState(st), age(st.PlatformHeardAt), strconv.FormatInt(l.ConfigurationVersion, 10),
		age(l.UpstreamsReadAt), fmt.Sprintf("%d of %d", up, len(st.Members)), strconv.Itoa(owned), strconv.Itoa(st.OpenJobs),
		strconv.Itoa(l.WaitingJobs),
	}
}

// age returns the time since t as shown in tables.
func age(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return time.Since(t).Round(10 * time.Millisecond).String()
}

// upstreamOwnership is the report about an upstream that has the highest fencing
// token.
type upstreamOwnership struct {
	operator.LeasedUpstream
	// OtherOwners maps the entries that report another owner to that owner.
	OtherOwners map[string]string `json:"other_owners,omitempty"`
}

// leasedUpstreams prints the owner of each upstream according to the report with
// the highest fencing token, and the entries that report another owner.
func (c *Commander) leasedUpstreams(ctx context.Context) error {
	all, err := c.fetchLeased(ctx)
	if err != nil {
		return err
	}
	list := mergeOwnership(all)
	rows := [][]string{{"UPSTREAM", "DOMAIN", "OWNER", "TOKEN", "STATE", "FREE CORES", "SLOWNESS", "HEARD", "ENTRIES THAT DIFFER"}}
	for _, u := range list {
		var differ []string
		for _, name := range slices.Sorted(maps.Keys(u.OtherOwners)) {
			differ = append(differ, name+" says "+cmp.Or(u.OtherOwners[name], "nobody"))
		}
		rows = append(rows, []string{
			u.Name, u.FailureDomain, cmp.Or(u.Owner, "nobody"), strconv.FormatInt(u.Token, 10), upstreamState(u.LeasedUpstream),
			strconv.FormatFloat(u.FreeCores, 'f', 1, 64), strconv.FormatFloat(u.Slowness, 'f', 2, 64), age(u.HeardAt), strings.Join(differ, ", "),
		})
	}
	return c.print(list, rows)
}

// mergeOwnership merges the entries' reports about each upstream.
func mergeOwnership(all []entryStatus) []upstreamOwnership {
	best := make(map[string]*upstreamOwnership)
	for _, f := range all {
		if f.status.Leased == nil {
			continue
		}
		for _, u := range f.status.Leased.Upstreams {
			b := best[u.Name]
			// Of reports with the same token, the owner's own is preferred.
			if b == nil || u.Token > b.Token || (u.Token == b.Token && u.Owner == f.name) {
				best[u.Name] = &upstreamOwnership{LeasedUpstream: u, OtherOwners: make(map[string]string)}
			}
		}
	}
	for _, f := range all {
		if f.status.Leased == nil {
			continue
		}
		for _, u := range f.status.Leased.Upstreams {
			if b := best[u.Name]; b.Owner != u.Owner {
				b.OtherOwners[f.name] = u.Owner
			}
		}
	}
	out := make([]upstreamOwnership, 0, len(best))
	for _, name := range slices.Sorted(maps.Keys(best)) {
		out = append(out, *best[name])
	}
	return out
}

// upstreamState returns the state of an upstream as shown in tables.
func upstreamState(u operator.LeasedUpstream) string {
	switch {
	case u.Leaving:
		return "leaving"
	case !u.Usable:
		return "no new runs"
	}
	return "usable"
}

// explainJob explains a job from the logs on standard input.
func (c *Commander) explainJob(context.Context) error {
	lines, err := explainer.Read(c.In)
	if err != nil {
		return err
	}
	at := time.Time{}
	if c.at != "" {
		if at, err = time.Parse(time.RFC3339Nano, c.at); err != nil {
			return &usageError{errors.Errorf("--at %s: a time as in the logs is needed, such as 2026-08-25T03:21:30.000Z", c.at)}
		}
	}
	e := explainer.Explain(lines, c.job, at, c.entry)
	if c.asJSON {
		return c.print(e, nil)
	}
	_, err = io.WriteString(c.Out, e.String())
	return err
}
