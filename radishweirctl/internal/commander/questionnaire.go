package commander

import (
	"context"
	_ "embed"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"radishweir.org/lib/configurer"
	"radishweir.org/lib/generator"
	"radishweir.org/lib/platform"
	"radishweir.org/lib/wire"
)

// questionnaireTemplate is an example questionnaire for operators to fill in.
//
//go:embed questionnaire.toml
var questionnaireTemplate string

// questionnaireInit prints the questionnaire template.
func (c *Commander) questionnaireInit(context.Context) error {
	_, err := fmt.Fprint(c.Out, questionnaireTemplate)
	return err
}

// loadQuestionnaire reads and checks the questionnaire file.
func (c *Commander) loadQuestionnaire() (*generator.Questionnaire, error) {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return nil, &usageError{errors.Errorf("questionnaire %s cannot be read", c.file)}
	}
	q, err := generator.Parse(c.file, data)
	if err != nil {
		return nil, &usageError{err}
	}
	return q, nil
}

// questionnaireCheck prints the configuration that a questionnaire generates and
// the answer that determines each value.
func (c *Commander) questionnaireCheck(context.Context) error {
	q, err := c.loadQuestionnaire()
	if err != nil {
		return err
	}
	_, lines := q.Generate()
	rows := [][]string{{"KEY", "VALUE", "FROM ANSWER"}}
	for _, l := range lines {
		rows = append(rows, []string{l.Key, l.Value, l.Answer})
	}
	return c.print(lines, rows)
}

// applyResult is the result of the questionnaire apply command.
type applyResult struct {
	Service  string         `json:"service"`
	Revision uint64         `json:"revision"`
	WriteID  string         `json:"write_id"`
	InForce  []entryInForce `json:"in_force,omitempty"`
}

// entryInForce records after how many seconds an entry had a revision in force.
type entryInForce struct {
	Entry   string  `json:"entry"`
	InForce bool    `json:"in_force"`
	Seconds float64 `json:"seconds"`
}

// questionnaireApply generates a configuration and stores it on the platform.
// With --wait it then waits until all entries have it in force.
func (c *Commander) questionnaireApply(ctx context.Context) error {
	q, err := c.loadQuestionnaire()
	if err != nil {
		return err
	}
	s, _ := q.Generate()
	a := configurer.Applier{Store: c.store, Author: c.Author, BasedOn: c.basedOn, HighestInForce: c.highestRevision(ctx, s.GetService())}
	if err := a.Apply(ctx, s); err != nil {
		return c.printConflict(err, s)
	}
	res := applyResult{Service: s.GetService(), Revision: s.GetRevision(), WriteID: s.GetWriteId()}
	if !c.asJSON {
		fmt.Fprintf(c.Out, "accepted revision %d of %s\n", res.Revision, res.Service)
	}
	if c.wait {
		err = c.awaitInForce(ctx, &res)
	}
	if c.asJSON {
		return errors.Join(c.print(res, nil), err)
	}
	return err
}

// highestRevision returns the highest revision of a service's configuration that
// is in force on any reachable entry.
func (c *Commander) highestRevision(ctx context.Context, service string) uint64 {
	var n uint64
	all, _ := c.fetchAll(ctx)
	for _, st := range all {
		for _, s := range st.status.Services {
			if s.Name == service {
				n = max(n, s.Revision)
			}
		}
	}
	return n
}

// printConflict prints how two questionnaires differ if err says that another
// operator's was applied first. It returns err.
func (c *Commander) printConflict(err error, s *wire.ServiceConfiguration) error {
	var race *configurer.ConflictError
	if errors.As(err, &race) {
		for _, line := range diffQuestionnaires(race.Current.GetQuestionnaire(), s.GetQuestionnaire()) {
			fmt.Fprintln(c.Err, line)
		}
	}
	return err
}

// diffQuestionnaires lists the lines that only one of two questionnaires has.
func diffQuestionnaires(theirs, ours string) []string {
	var out []string
	for _, side := range []struct{ prefix, text, other string }{{"theirs: ", theirs, ours}, {"yours:  ", ours, theirs}} {
		otherLines := make(map[string]bool)
		for _, l := range strings.Split(side.other, "\n") {
			otherLines[strings.TrimSpace(l)] = true
		}
		for _, l := range strings.Split(side.text, "\n") {
			if l = strings.TrimSpace(l); l != "" && !otherLines[l] {
				out = append(out, side.prefix+l)
			}
		}
	}
	return out
}

// awaitInForce polls the entries until the revision is in force on all of them,
// and prints each entry as soon as it is. It fails after inForceTimeout.
func (c *Commander) awaitInForce(ctx context.Context, res *applyResult) error {
	began := time.Now()
	done := make(map[string]bool)
	for {
		all, err := c.fetchAll(ctx)
		missing := 0
		if err != nil {
			missing = 1
		}
		for _, f := range all {
			if done[f.name] {
				continue
			}
			if f.revision(res.Service) < res.Revision {
				missing++
				continue
			}
			done[f.name] = true
			d := time.Since(began).Seconds()
			res.InForce = append(res.InForce, entryInForce{f.name, true, d})
			if !c.asJSON {
				fmt.Fprintf(c.Out, "in force on %s after %.2f s\n", f.name, d)
			}
		}
		if missing == 0 {
			return nil
		}
		if time.Since(began) > inForceTimeout || ctx.Err() != nil {
			return &notInForceError{errors.Errorf("revision %d is not in force on %d entries", res.Revision, missing)}
		}
		time.Sleep(inForcePollInterval)
	}
}

// inForcePollInterval is the time between two polls of the entries.
const inForcePollInterval = 50 * time.Millisecond

// questionnaireShow prints the questionnaire in force.
func (c *Commander) questionnaireShow(ctx context.Context) error {
	s, _, err := configurer.Current(ctx, c.store, c.service)
	if err != nil {
		return err
	}
	if s == nil {
		return errors.Errorf("service %s has no configuration", c.service)
	}
	if c.asJSON {
		data, err := protojson.MarshalOptions{UseProtoNames: true, Multiline: true}.Marshal(s)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(c.Out, string(data))
		return err
	}
	_, err = fmt.Fprint(c.Out, s.GetQuestionnaire())
	return err
}

// appliedRevision describes one revision of a service's configuration.
type appliedRevision struct {
	Revision  uint64    `json:"revision"`
	Author    string    `json:"author"`
	AppliedAt time.Time `json:"applied_at"`
	WriteID   string    `json:"write_id"`
}

// questionnaireHistory prints the revisions of a service's configuration that the
// platform keeps.
func (c *Commander) questionnaireHistory(ctx context.Context) error {
	snap, err := c.store.List(ctx, platform.HistoryPrefix+c.service+"/")
	if err != nil {
		return err
	}
	var list []appliedRevision
	rows := [][]string{{"REVISION", "AUTHOR", "APPLIED AT"}}
	for _, kv := range snap.KeyValues {
		s, err := configurer.Decode(kv.Value)
		if err != nil {
			return err
		}
		p := appliedRevision{s.GetRevision(), s.GetAuthor(), s.GetAppliedAt().AsTime(), s.GetWriteId()}
		list = append(list, p)
		rows = append(rows, []string{strconv.FormatUint(p.Revision, 10), p.Author, p.AppliedAt.Format(time.RFC3339)})
	}
	return c.print(list, rows)
}
