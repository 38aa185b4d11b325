// Package explainer follows a job of leased entries through their logs.
//
// # Usage
//
//	lines, err := explainer.Read(os.Stdin)
//	fmt.Print(explainer.Explain(lines, "5c0e7a21d94b36f8", time.Time{}, ""))
//
// The logs of all entries are read together, in any order.
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
	// windowBefore and lookAhead bound the surroundings of a job: registrations of
	// dead entries lapse within two seconds.
	windowBefore = 2500 * time.Millisecond
	windowAfter  = 500 * time.Millisecond
	// answerWindow is how long after a request its entry may write a line about it;
	// callers wait no longer.
	answerWindow = 3 * time.Second
)

// relatedEvents are the events that may explain what became of a job.
var relatedEvents = map[string]string{
	"started": "an entry was started", "draining": "an entry is being stopped", "stopped": "an entry ended",
	"peer_down": "an entry lost a peer", "peer_up": "an entry reached a peer",
	"member_left": "a registration is gone", "member_joined": "an entry registered",
	"registration_failed": "an entry cannot register", "renewals_failing": "the store does not answer an entry's renewals",
	"renewals_answered": "the store answers again", "platform_watch_lost": "the store's changes cannot be followed",
	"platform_watch_up": "the store's changes are followed again", "platform_went_back": "the store lost changes",
	"ownership_changed": "upstreams got another owner", "upstream_has_newer_owner": "an upstream refused a former owner",
	"upstream_ejected": "an upstream gets no new runs", "upstream_admitted": "an upstream gets runs again",
	"upstream_gone": "an upstream is no longer listed", "runs_lost": "runs were lost with their upstream",
	"configuration_in_force": "a configuration came into force", "settings_in_force": "settings changed",
	"job_lines_left_out": "more jobs were refused than lines were written",
}

// Explanation is what the logs tell of a job.
type Explanation struct {
	Job string `json:"job"`
	// Cause is one sentence.
	Cause string `json:"cause"`
	// Next says where to look.
	Next string `json:"next"`
	// Lines are those of the job itself.
	Lines []Line `json:"lines"`
	// Related sums up what else happened at that time.
	Related []Summary `json:"around"`
	// Upstreams are events of the upstreams at which runs of the job went wrong.
	Upstreams []Line `json:"upstreams"`
	// OtherJobs are lines about other jobs of the entry at that time.
	OtherJobs []Line `json:"others"`
}

// Summary stands for all events of one kind.
type Summary struct {
	Event   string `json:"event"`
	Meaning string `json:"meaning"`
	Count   int    `json:"count"`
	// Entries are those that wrote it, Subjects what it was about.
	Entries  []string  `json:"entries"`
	Subjects []string  `json:"subjects"`
	First    time.Time `json:"first"`
	Last     time.Time `json:"last"`
}

// Explain follows a job. If there is no line about it, what happened around the
// time at is told, and which jobs ended badly at the entry then; at may be zero
// and entry empty.
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
	failedAt := failedUpstreams(last)
	for _, l := range lines {
		if nearJob(l) && l.Fields["upstream"] != "" && slices.Contains(failedAt, l.Fields["upstream"]) && relatedEvents[l.Event] != "" {
			out.Upstreams = append(out.Upstreams, l)
		}
	}
	return out
}

// failedUpstreams reads the upstreams at which runs of a job went wrong.
func failedUpstreams(l Line) []string {
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

// summarize groups the events that explain something.
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

// maxNames bounds the names that are printed of one list.
const maxNames = 6

// joinNames prints a list for a person.
func joinNames(list []string) string {
	if len(list) > maxNames {
		return fmt.Sprintf("%s and %d more", strings.Join(list[:maxNames], ", "), len(list)-maxNames)
	}
	return strings.Join(list, ", ")
}

// clockFormat is the format of times for a person.
const clockFormat = "15:04:05.000"

// String prints the explanation for a person.
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

// writeSection prints lines below a title.
func writeSection(b *strings.Builder, title string, lines []Line) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(b, "\n%s\n", title)
	for _, l := range lines {
		fmt.Fprintf(b, "  %s\n", l.Text)
	}
}
