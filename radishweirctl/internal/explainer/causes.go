package explainer

import "strconv"

// cause explains the outcome of a job.
type cause struct {
	// state and reason select the jobs; an empty reason selects every reason.
	state, reason string
	// text describes the cause, next says where to look next.
	text, next string
}

// causes lists the logged outcomes; the first that matches applies.
// docs/OPERATIONS.md has the same list.
var causes = []cause{
	{"refused", "the queue is too long", "overload: the work before it takes longer than its time", overloadNext},
	{"refused", "no room in time", "no upstream came free while it could still end in time", overloadNext},
	{"refused", "the caller's deadline passed", "no upstream came free before its caller left", overloadNext},
	{
		"refused", "no upstream is large enough", "it fits no listed upstream, or none is listed",
		"radishweir_upstream_list_age_seconds and the job's declared needs",
	},
	{"refused", "the entry is stopping", "its entry drained, and it could not end before the drain limit", stopNext},
	{"expired", "the entry is stopping", "its entry drained, and it was open at the drain limit", stopNext},
	{
		"failed", "upstreams crash under a task", "upstreams crashed under one of its tasks, one of them with nothing else on it",
		"upstream_lost_under_task and upstream_crashed_under_task of the job",
	},
	{
		"failed", "", "a task failed as often as its queue allows",
		"missed_at: the same upstreams for many jobs point at these, different ones at the job",
	},
	{
		"expired", "", "its caller's deadline passed while it ran: a run hung, was slow or its owner was cut off",
		"missed_at, then peer_down, runs_lost and upstream_has_newer_owner",
	},
	{"cancelled", "", "its caller left before the answer", "after_ms against the caller's deadline"},
	{
		"complete", "", "it was answered late: it waited, or ran on slow upstreams, or again after a lost run",
		"missed_at, runs_lost and peer_down; with none of them, overload",
	},
}

const overloadNext = "upstreams_usable and peers_up in the line against those of calm times, then upstream_ejected and peer_down; " +
	"with none of them, more load than room"

const stopNext = "drain_limit against the time that jobs take, and registration_not_removed"

// explainEnd returns the cause and the next place to look for the last line about
// a job.
func explainEnd(l Line) (text, next string) {
	if l.Event != "job_ended" {
		return "it was open at the end of these logs", "the logs after " + l.Time.Format(clockFormat)
	}
	for _, c := range causes {
		if c.state != l.Fields["state"] || (c.reason != "" && c.reason != l.Fields["reason"]) {
			continue
		}
		text = c.text
		if n := len(missedUpstreams(l)); n > 0 {
			text += "; runs went wrong or were left at " + strconv.Itoa(n) + " upstreams"
		}
		return text, c.next
	}
	return "state " + l.Fields["state"] + " " + l.Fields["reason"], "docs/OPERATIONS.md"
}
