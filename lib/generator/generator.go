// Package generator turns an operator's questionnaire into the configuration
// of a service.
//
// A questionnaire is a TOML file with answers in operators' terms. Each generated
// value can be traced to the answer that it is derived from.
//
// # Usage
//
//	q, err := generator.Parse("claims.toml", data)
//	cfg, lines := q.Generate()
//
// Every error is one line that names the answer and the allowed values.
package generator

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"radishweir.org/lib/loader"
	"radishweir.org/lib/wire"
)

// Answers to the question of what costs more.
const (
	// CostLateAnswer trades additional messages for earlier answers.
	CostLateAnswer = "late_answer"
	// CostWastedMessage trades later answers for fewer messages.
	CostWastedMessage = "wasted_message"
)

// selectionByCost derives the selection policy from the answer to costs_more.
const selectionByCost = "by_cost"

const (
	// maxTenants bounds the tenants of one service.
	maxTenants = 450
	// responseRetryPermille is the retry budget when late answers cost more,
	// messagesRetryPermille when wasted messages do.
	responseRetryPermille = 100
	messagesRetryPermille = 50
	// responseHedgePermille is the hedging budget when late answers cost more.
	responseHedgePermille = 20
)

// Questionnaire holds the answers for one service.
type Questionnaire struct {
	Service                string   `toml:"service"`
	Requests               string   `toml:"requests"`
	MustNeverRepeat        bool     `toml:"must_never_repeat"`
	TypicalRun             string   `toml:"typical_run"`
	ShortestRun            string   `toml:"shortest_run"`
	LongestRun             string   `toml:"longest_run"`
	AnswerWithin           string   `toml:"answer_within"`
	ResubmittedWithin      string   `toml:"resubmitted_within"`
	ClocksAgreeWithin      string   `toml:"clocks_agree_within"`
	LargestJob             int      `toml:"largest_job"`
	LargestInputKB         int      `toml:"largest_input_kb"`
	CostsMore              string   `toml:"costs_more"`
	RememberedJobs         int      `toml:"remembered_jobs"`
	UpstreamGroup          string   `toml:"upstream_group"`
	SlotsPerUpstream       int      `toml:"slots_per_upstream"`
	ConnectionsPerUpstream int      `toml:"connections_per_upstream"`
	Selection              string   `toml:"selection"`
	FailureDomains         []string `toml:"failure_domains"`
	Tenants                []Tenant `toml:"tenants"`

	source string
}

// Tenant holds the answers about one tenant.
type Tenant struct {
	Name          string `toml:"name"`
	TokenSHA256   string `toml:"token_sha256"`
	Share         int    `toml:"share"`
	MostOpenTasks int    `toml:"most_open_tasks"`
}

// fields returns the table of answers with their defaults and validators.
func (q *Questionnaire) fields() []loader.Field {
	return []loader.Field{
		{Key: "service", Value: &q.Service, Check: loader.Name},
		{Key: "requests", Value: &q.Requests},
		{Key: "must_never_repeat", Value: &q.MustNeverRepeat},
		{Key: "typical_run", Value: &q.TypicalRun, Check: loader.DurationRange(time.Millisecond, time.Hour)},
		{Key: "shortest_run", Value: &q.ShortestRun, Default: "1ms", Check: loader.DurationRange(time.Millisecond, time.Hour)},
		{Key: "longest_run", Value: &q.LongestRun, Check: loader.DurationRange(time.Millisecond, time.Hour)},
		{Key: "answer_within", Value: &q.AnswerWithin, Check: loader.DurationRange(10*time.Millisecond, time.Hour)},
		{Key: "resubmitted_within", Value: &q.ResubmittedWithin, Default: "1h", Check: loader.DurationRange(time.Second, 7*24*time.Hour)},
		{Key: "clocks_agree_within", Value: &q.ClocksAgreeWithin, Default: "2s", Check: loader.DurationRange(100*time.Millisecond, time.Hour)},
		{Key: "largest_job", Value: &q.LargestJob, Default: 390, Check: loader.IntRange(1, 390)},
		{Key: "largest_input_kb", Value: &q.LargestInputKB, Default: 64, Check: loader.IntRange(1, 4096)},
		{
			Key: "costs_more", Value: &q.CostsMore, Default: CostLateAnswer,
			Check: loader.OneOf(CostLateAnswer, CostWastedMessage),
		},
		{Key: "remembered_jobs", Value: &q.RememberedJobs, Default: 200_000, Check: loader.IntRange(100, 10_000_000)},
		{Key: "upstream_group", Value: &q.UpstreamGroup, Check: loader.Name},
		{Key: "slots_per_upstream", Value: &q.SlotsPerUpstream, Default: 8, Check: loader.IntRange(1, 1024)},
		{Key: "connections_per_upstream", Value: &q.ConnectionsPerUpstream, Default: 64, Check: loader.IntRange(1, 4096)},
		{
			Key: "selection", Value: &q.Selection, Default: selectionByCost,
			Check: loader.OneOf(selectionByCost, "fastest", "fastest_free", "random", "round_robin"),
		},
		{Key: "failure_domains", Value: &q.FailureDomains, Check: checkNames},
	}
}

// checkNames accepts a non-empty list of valid names without duplicates.
func checkNames(v any) error {
	list, _ := v.([]string)
	if len(list) == 0 {
		return errors.New("allowed is a list of at least one name")
	}
	seen := make(map[string]bool, len(list))
	for _, s := range list {
		if err := loader.Name(s); err != nil {
			return err
		}
		if seen[s] {
			return errors.Errorf("%s stands twice", s)
		}
		seen[s] = true
	}
	return nil
}

// Parse reads and checks a questionnaire from the file at path.
func Parse(path string, data []byte) (*Questionnaire, error) {
	q := &Questionnaire{source: string(data)}
	if err := loader.Parse(path, data, q, q.fields()); err != nil {
		return nil, err
	}
	if err := q.checkConsistency(); err != nil {
		return nil, errors.Errorf("%s: %v", path, err)
	}
	if err := q.checkTenants(); err != nil {
		return nil, errors.Errorf("%s: %v", path, err)
	}
	return q, nil
}

// checkConsistency refuses answers that contradict each other.
func (q *Questionnaire) checkConsistency() error {
	switch {
	case parseChecked(q.ShortestRun) > parseChecked(q.TypicalRun):
		return errors.Errorf("key shortest_run: value %q: allowed is at most typical_run", q.ShortestRun)
	case parseChecked(q.TypicalRun) > parseChecked(q.LongestRun):
		return errors.Errorf("key typical_run: value %q: allowed is at most longest_run", q.TypicalRun)
	case parseChecked(q.TypicalRun) > parseChecked(q.AnswerWithin):
		return errors.Errorf("key answer_within: value %q: allowed is at least typical_run", q.AnswerWithin)
	case q.ConnectionsPerUpstream < q.SlotsPerUpstream:
		return errors.Errorf("key connections_per_upstream: value %d: allowed is at least slots_per_upstream", q.ConnectionsPerUpstream)
	}
	return nil
}

// checkTenants refuses invalid or duplicate tenants.
func (q *Questionnaire) checkTenants() error {
	if len(q.Tenants) == 0 || len(q.Tenants) > maxTenants {
		return errors.Errorf("key tenants: %d given: allowed are 1 to %d", len(q.Tenants), maxTenants)
	}
	seen := make(map[string]bool, 2*len(q.Tenants))
	for i, t := range q.Tenants {
		if err := t.check(); err != nil {
			return errors.Errorf("key tenants[%d].%v", i, err)
		}
		if seen[t.Name] || seen[t.TokenSHA256] {
			return errors.Errorf("key tenants[%d]: name or token_sha256 stands twice", i)
		}
		seen[t.Name], seen[t.TokenSHA256] = true, true
	}
	return nil
}

func (t Tenant) check() error {
	if err := loader.Name(t.Name); err != nil {
		return errors.Errorf("name: value %q: %v", t.Name, err)
	}
	if b, err := hex.DecodeString(t.TokenSHA256); err != nil || len(b) != 32 {
		return errors.Errorf("token_sha256: value %q: allowed are 64 hexadecimal digits", t.TokenSHA256)
	}
	if t.Share < 0 || t.Share > 1000 {
		return errors.Errorf("share: value %d: allowed is a whole number from 0 to 1000", t.Share)
	}
	if t.MostOpenTasks < 0 {
		return errors.Errorf("most_open_tasks: value %d: allowed is a whole number from 0", t.MostOpenTasks)
	}
	return nil
}

// parseChecked parses a duration that has already been validated.
func parseChecked(s string) time.Duration {
	d, _ := time.ParseDuration(s)
	return d
}

func milliseconds(s string) uint32 { return uint32(parseChecked(s).Milliseconds()) }

// Line traces one generated value to the answer that it is derived from.
type Line struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Answer string `json:"answer"`
}

// Generate returns the configuration, without a revision, and its trace.
func (q *Questionnaire) Generate() (*wire.ServiceConfiguration, []Line) {
	c := &wire.ServiceConfiguration{
		Service:                q.Service,
		Repeatable:             !q.MustNeverRepeat,
		UpstreamGroup:          q.UpstreamGroup,
		SlotsPerUpstream:       uint32(q.SlotsPerUpstream),
		ConnectionsPerUpstream: uint32(q.ConnectionsPerUpstream),
		TypicalRunMs:           milliseconds(q.TypicalRun),
		ShortestRunMs:          milliseconds(q.ShortestRun),
		LongestRunMs:           milliseconds(q.LongestRun),
		DefaultDeadlineMs:      milliseconds(q.AnswerWithin),
		ResubmissionWindowMs:   milliseconds(q.ResubmittedWithin),
		ClockMarginMs:          milliseconds(q.ClocksAgreeWithin),
		MaxTasks:               uint32(q.LargestJob),
		MaxInputBytes:          uint32(q.LargestInputKB) << 10,
		RetryPermille:          responseRetryPermille,
		Policy:                 q.Selection,
		MaxJobs:                uint32(q.RememberedJobs),
		FailureDomains:         q.FailureDomains,
		Questionnaire:          q.source,
	}
	q.applyCostPreference(c)
	for _, t := range q.Tenants {
		c.Tenants = append(c.Tenants, &wire.Tenant{
			Name: t.Name, TokenSha256: t.TokenSHA256, Weight: uint32(max(t.Share, 1)),
			MaxOpenTasks: uint32(t.MostOpenTasks),
		})
	}
	return c, trace(c)
}

// applyCostPreference sets the values that depend on whether a late answer or a
// wasted message costs more.
func (q *Questionnaire) applyCostPreference(c *wire.ServiceConfiguration) {
	policy := "fastest"
	if q.CostsMore == CostWastedMessage {
		policy = "fastest_free"
		c.RetryPermille = messagesRetryPermille
		c.BorrowAfterMs = c.GetTypicalRunMs()
	} else if !q.MustNeverRepeat {
		c.HedgePermille = responseHedgePermille
	}
	if q.Selection == selectionByCost {
		c.Policy = policy
	}
}

// trace lists the generated values with the answers that they are derived from.
func trace(c *wire.ServiceConfiguration) []Line {
	num := func(n uint32) string { return strconv.FormatUint(uint64(n), 10) }
	return []Line{
		{"service", c.GetService(), "service"},
		{"repeatable", strconv.FormatBool(c.GetRepeatable()), "must_never_repeat"},
		{"upstream_group", c.GetUpstreamGroup(), "upstream_group"},
		{"slots_per_upstream", num(c.GetSlotsPerUpstream()), "slots_per_upstream"},
		{"connections_per_upstream", num(c.GetConnectionsPerUpstream()), "connections_per_upstream"},
		{"typical_run_ms", num(c.GetTypicalRunMs()), "typical_run"},
		{"shortest_run_ms", num(c.GetShortestRunMs()), "shortest_run"},
		{"longest_run_ms", num(c.GetLongestRunMs()), "longest_run"},
		{"default_deadline_ms", num(c.GetDefaultDeadlineMs()), "answer_within"},
		{"resubmission_window_ms", num(c.GetResubmissionWindowMs()), "resubmitted_within"},
		{"clock_margin_ms", num(c.GetClockMarginMs()), "clocks_agree_within"},
		{"max_tasks", num(c.GetMaxTasks()), "largest_job"},
		{"max_input_bytes", num(c.GetMaxInputBytes()), "largest_input_kb"},
		{"max_jobs", num(c.GetMaxJobs()), "remembered_jobs"},
		{"retry_permille", num(c.GetRetryPermille()), "costs_more"},
		{"hedge_permille", num(c.GetHedgePermille()), "costs_more, must_never_repeat"},
		{"policy", c.GetPolicy(), "selection, costs_more"},
		{"borrow_after_ms", num(c.GetBorrowAfterMs()), "costs_more, typical_run"},
		{"failure_domains", fmt.Sprint(c.GetFailureDomains()), "failure_domains"},
		{"tenants", strconv.Itoa(len(c.GetTenants())), "tenants"},
	}
}
