// Package explainer explains the outcome of a job from the logs of the entries on
// leased upstreams.
//
// # Usage
//
//	lines, err := explainer.Read(os.Stdin)
//	fmt.Print(explainer.Explain(lines, "5c0e7a21d94b36f8", time.Time{}, ""))
//
// The logs of all entries are read as one stream, in any order.
package explainer

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// windowBefore and windowAfter widen the time span of a job in which related
	// events are collected: registrations of dead entries lapse within two seconds.
	windowBefore = 2500 * time.Millisecond
	windowAfter  = 500 * time.Millisecond
	// answerWindow is how long after a request its entry may log a line about it;
	// callers wait no longer.
	answerWindow = 3 * time.Second
)

// relatedEvents maps the events that may explain the outcome of a job to their
// meanings.
var relatedEvents = map[string]string{
	"started": "an entry was started", "draining": "an entry is being stopped", "stopped": "an entry ended",
	"peer_down": "an entry lost a peer", "peer_up": "an entry reached a peer",
	"member_left": "a registration is gone", "member_joined": "an entry registered",
	"registration_failed": "an entry cannot register", "renewals_failing": "the store does not answer an entry's renewals",
	"renewals_answered": "the store answers again", "platform_watch_lost": "the store's changes cannot be followed",
	"platform_watch_up": "the store's changes are followed again", "platform_went_back": "the store lost changes",
	"ownership_changed": "upstreams got another owner", "upstream_has_newer_owner": "an upstream refused a former owner",
	"upstream_ejected": "an upstream gets no new runs", "upstream_admitted": "an upstream gets runs again",
	"upstream_gone": "an upstream is no longer listed", "upstream_restarted": "an upstream restarted under its name",
	"runs_lost": "runs were lost with their upstream", "stop_refused": "an upstream refused to stop a run",
	"upstream_lost_under_task":    "an upstream went down under a task",
	"upstream_crashed_under_task": "an upstream crashed under a task", "lost_upstream_alive": "an upstream was only cut off",
	"stop_overdue":           "an upstream did not stop a run",
	"detached_runs_stopped":  "runs were stopped whose requester was gone",
	"configuration_in_force": "a configuration came into force", "settings_in_force": "settings changed",
	"job_lines_left_out": "more jobs were refused than lines were written",
}

// Explanation is the outcome of a job and its likely cause, as found in the logs.
type Explanation struct {
	Job string `json:"job"`
	// Cause describes the cause in one sentence.
	Cause string `json:"cause"`
	// Next says where to look next.
	Next string `json:"next"`
	// Lines are the lines about the job itself.
	Lines []Line `json:"lines"`
	// Related summarizes the related events around the time of the job.
	Related []Summary `json:"around"`
	// Upstreams are related events about the upstreams in the job's missed_at field.
	Upstreams []Line `json:"upstreams"`
	// OtherJobs are lines about other jobs that ended at the entry around that time,
	// if there is no line about the job.
	OtherJobs []Line `json:"others"`
}

// Summary summarizes all events of one kind.
type Summary struct {
	Event   string `json:"event"`
	Meaning string `json:"meaning"`
	Count   int    `json:"count"`
	// Entries are the entries that logged the event; Subjects are the peers,
	// upstreams, keys or prefixes that it names.
	Entries  []string  `json:"entries"`
	Subjects []string  `json:"subjects"`
	First    time.Time `json:"first"`
	Last     time.Time `json:"last"`
}

// Explain explains the outcome of the job with identifier id. If no line is about
// the job, it instead summarizes the events around the time at and lists the jobs
// that ended badly at entry then; at may be zero and entry empty.
func Explain(lines []Line, id string, at time.Time, entry string) Explanation {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	out := Explanation{Job: id}
	for _, l := range lines {
		if l.Fields["job"] == id || strings.HasPrefix(l.Fields["task"], id+".") {
			out.Lines = append(out.Lines, l)
		}
	}
	if len(out.Lines) == 0 {
		out.Cause = "no line: it never arrived, was answered in time, was refused beyond the lines that are written, or its entry ended"
		out.Next = "the time at which it was sent: entries that started after it, lost their peers or left; job_lines_left_out"
		if !at.IsZero() {
			nearRequest := func(l Line) bool { return !l.Time.Before(at.Add(-windowBefore)) && !l.Time.After(at.Add(answerWindow)) }
			out.Related = summarize(lines, nearRequest)
			for _, l := range lines {
				if nearRequest(l) && l.Event == "job_ended" && l.Entry == entry && !l.Time.Before(at) {
					out.OtherJobs = append(out.OtherJobs, l)
				}
			}
			return out
		}
		out.Next += "; say when with --at"
		out.Related = summarize(lines, func(l Line) bool {
			return l.Event == "started" || l.Event == "member_left" || l.Event == "draining" || l.Event == "job_lines_left_out"
		})
		return out
	}
	last := out.Lines[len(out.Lines)-1]
	out.Cause, out.Next = explainEnd(last)
	from, to := out.Lines[0].Time, last.Time.Add(windowAfter)
	if ms, err := strconv.Atoi(last.Fields["after_ms"]); err == nil {
		from = last.Time.Add(-time.Duration(ms) * time.Millisecond)
	}
	from = from.Add(-windowBefore)
	nearJob := func(l Line) bool { return !l.Time.Before(from) && !l.Time.After(to) }
	out.Related = summarize(lines, nearJob)
	missed := missedUpstreams(last)
	for _, l := range lines {
		if nearJob(l) && l.Fields["upstream"] != "" && slices.Contains(missed, l.Fields["upstream"]) && relatedEvents[l.Event] != "" {
			out.Upstreams = append(out.Upstreams, l)
		}
	}
	return out
}

// missedUpstreams returns the upstreams in the missed_at field: those on which runs
// of the job did not succeed or had not ended.
func missedUpstreams(l Line) []string {
	list := strings.Trim(l.Fields["missed_at"], "[]")
	if list == "" {
		return nil
	}
	out := strings.Split(list, ",")
	for i := range out {
		out[i] = strings.Trim(out[i], `"`)
	}
	return out
}

// summarize groups the related events that match, in the order of their first
// occurrence.
func summarize(lines []Line, match func(Line) bool) []Summary {
	byEvent := make(map[string]*Summary)
	for _, l := range lines {
		if relatedEvents[l.Event] == "" || !match(l) {
			continue
		}
		s := byEvent[l.Event]
		if s == nil {
			s = &Summary{Event: l.Event, Meaning: relatedEvents[l.Event], First: l.Time}
			byEvent[l.Event] = s
		}
		s.Count++
		s.Last = l.Time
		s.Entries = insertSorted(s.Entries, l.Entry)
		s.Subjects = insertSorted(s.Subjects, cmp.Or(l.Fields["peer"], l.Fields["upstream"], l.Fields["key"], l.Fields["prefix"]))
	}
	out := make([]Summary, 0, len(byEvent))
	for _, s := range byEvent {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Summary) int { return cmp.Or(a.First.Compare(b.First), strings.Compare(a.Event, b.Event)) })
	return out
}

// insertSorted adds a value to a sorted list without duplicates.
func insertSorted(list []string, v string) []string {
	i, found := slices.BinarySearch(list, v)
	if found || v == "" {
		return list
	}
	return slices.Insert(list, i, v)
}

// maxNames limits the names that are printed of one list.
const maxNames = 6

// joinNames joins the first names of a list and counts the others.
func joinNames(list []string) string {
	if len(list) > maxNames {
		return fmt.Sprintf("%s and %d more", strings.Join(list[:maxNames], ", "), len(list)-maxNames)
	}
	return strings.Join(list, ", ")
}

// clockFormat is the format of printed times.
const clockFormat = "15:04:05.000"

// String returns the explanation as text.
func (e Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "job %s\ncause: %s\nlook next at: %s\n", e.Job, e.Cause, e.Next)
	writeSection(&b, "its lines", e.Lines)
	writeSection(&b, "where its runs went wrong", e.Upstreams)
	writeSection(&b, "jobs that ended badly there at that time", e.OtherJobs)
	if len(e.Related) > 0 {
		b.WriteString("\nat that time\n")
	}
	for _, s := range e.Related {
		fmt.Fprintf(&b, "  %s to %s  %s x%d (%s)", s.First.Format(clockFormat), s.Last.Format(clockFormat), s.Event, s.Count, s.Meaning)
		if len(s.Entries) > 0 {
			fmt.Fprintf(&b, ", from %s", joinNames(s.Entries))
		}
		if len(s.Subjects) > 0 {
			fmt.Fprintf(&b, ", about %s", joinNames(s.Subjects))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// writeSection writes a title and the lines below it, or nothing without lines.
func writeSection(b *strings.Builder, title string, lines []Line) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(b, "\n%s\n", title)
	for _, l := range lines {
		fmt.Fprintf(b, "  %s\n", l.Text)
	}
}
