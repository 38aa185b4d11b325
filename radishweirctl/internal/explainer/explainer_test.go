package explainer_test

import (
	"strings"
	"testing"
	"time"

	"radishweir.org/radishweirctl/internal/explainer"
)

const logs = `
  1.0 edge-1 time=2026-08-25T03:21:30.000Z level=info event=peer_down entry=entry-1 peer=entry-3
not a line of ours
time=2026-08-25T03:21:30.100Z level=warn event=runs_lost entry=entry-2 runs=2 upstream=u-7
time=2026-08-25T03:21:31.000Z level=info event=job_ended after_ms=900 done=1 entry=entry-1 job=aa kind=check late_ms=300 missed_at=["u-7","u-9"] reason="" state=complete
time=2026-08-25T03:21:31.200Z level=info event=job_ended after_ms=12 entry=entry-2 job=bb missed_at=[] reason="the queue is too long" state=refused
time=2026-08-25T03:21:50.000Z level=info event=peer_down entry=entry-1 peer=entry-4
`

func TestExplain(t *testing.T) {
	lines, err := explainer.Read(strings.NewReader(logs))
	if err != nil || len(lines) != 5 {
		t.Fatal(len(lines), err)
	}
	late := explainer.Explain(lines, "aa", time.Time{}, "")
	if !strings.Contains(late.Cause, "answered late") || len(late.Lines) != 1 {
		t.Errorf("late: %+v", late)
	}
	if len(late.Upstreams) != 1 || late.Upstreams[0].Event != "runs_lost" {
		t.Errorf("the lost runs at u-7 are not named: %+v", late.Upstreams)
	}
	if text := late.String(); !strings.Contains(text, "entry-3") || strings.Contains(text, "entry-4") {
		t.Errorf("related events of the late job:\n%s", text)
	}
	if e := explainer.Explain(lines, "bb", time.Time{}, ""); !strings.Contains(e.Cause, "overload") {
		t.Errorf("refused: %+v", e)
	}
	if e := explainer.Explain(lines, "cc", time.Time{}, ""); !strings.Contains(e.Cause, "no line") {
		t.Errorf("unknown: %+v", e)
	}
	at := time.Date(2026, 8, 25, 3, 21, 31, 0, time.UTC)
	if e := explainer.Explain(lines, "-", at, "entry-2"); len(e.OtherJobs) != 1 || !strings.Contains(e.String(), "job=bb") {
		t.Errorf("by time and entry: %+v", e)
	}
}

// Guards against jobs of an entry that was stopped being explained as slow or unknown.
func TestExplainJobOfStoppedEntry(t *testing.T) {
	for state, want := range map[string]string{"refused": "could not end", "expired": "open at the drain limit"} {
		l := explainer.Line{Event: "job_ended", Fields: map[string]string{"job": "aa", "state": state, "reason": "the entry is stopping"}}
		if e := explainer.Explain([]explainer.Line{l}, "aa", time.Time{}, ""); !strings.Contains(e.Cause, want) || !strings.Contains(e.Next, "drain_limit") {
			t.Errorf("%s: %+v", state, e)
		}
	}
}
