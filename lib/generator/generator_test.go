package generator

import (
	"os"
	"strings"
	"testing"
)

// TestExamples checks that the two example questionnaires generate a
// configuration that never repeats requests and traces every value.
func TestExamples(t *testing.T) {
	for _, name := range []string{"mandacaru", "qoldau"} {
		path := "../../examples/" + name + ".toml"
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		q, err := Parse(path, data)
		if err != nil {
			t.Fatal(err)
		}
		cfg, lines := q.Generate()
		if cfg.GetRepeatable() || cfg.GetHedgePermille() != 0 {
			t.Errorf("%s: requests that must not repeat are repeated", name)
		}
		for _, l := range lines {
			if l.Answer == "" || l.Value == "" {
				t.Errorf("%s: %s has no answer or value", name, l.Key)
			}
		}
	}
}

// TestBadAnswers checks that each invalid answer is refused with a one-line error
// that names it.
func TestBadAnswers(t *testing.T) {
	data, err := os.ReadFile("../../examples/mandacaru.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`service = "claims"`, `service = "Claims"`, "key service: value \"Claims\""},
		{`typical_run = "300ms"`, `typical_run = "300"`, "key typical_run"},
		{`typical_run = "300ms"`, `typical_run = "10s"`, "key typical_run"},
		{`answer_within = "20s"`, `answer_within = "20ms"`, "key answer_within"},
		{`largest_job = 390`, `largest_job = 391`, "key largest_job"},
		{`largest_job = 390`, `biggest_job = 390`, "key biggest_job is unknown"},
		{`costs_more = "late_answer"`, `costs_more = "both"`, "key costs_more"},
		{`connections_per_upstream = 64`, `connections_per_upstream = 4`, "key connections_per_upstream"},
		{`"nordeste-2"`, `"nordeste-1"`, "key failure_domains"},
		{`must_never_repeat = true`, ``, "key must_never_repeat is missing"},
		{`must_never_repeat = true`, `must_never_repeat = "yes"`, "line "},
		{`token_sha256 = "`, `token_sha256 = "zz`, "token_sha256"},
		{`share = 1`, `share = -1`, "share"},
	} {
		text := strings.Replace(string(data), c.from, c.to, 1)
		_, err := Parse("q.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line with %q", c.to, err, c.want)
		}
	}
}

// FuzzParse searches for questionnaires that are accepted but generate an
// unusable configuration.
func FuzzParse(f *testing.F) {
	data, _ := os.ReadFile("../../examples/mandacaru.toml")
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		q, err := Parse("q.toml", data)
		if err != nil {
			return
		}
		cfg, _ := q.Generate()
		if cfg.GetSlotsPerUpstream() == 0 || len(cfg.GetTenants()) == 0 || cfg.GetDefaultDeadlineMs() == 0 {
			t.Errorf("accepted: %s", data)
		}
	})
}
