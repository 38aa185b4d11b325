package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/forwarder"
	"radishweir.org/lib/wire"
)

// fakeBackend completes every job except the one named refused, and knows one
// service, s.
type fakeBackend struct{ submitted int }

func (f *fakeBackend) Submit(_ context.Context, r forwarder.Request) (*wire.JobAnswer, error) {
	f.submitted++
	if r.Job.GetJobId() == "refused" {
		return nil, classifier.RetryLater("busy", 1500*time.Millisecond)
	}
	return &wire.JobAnswer{JobId: r.Job.GetJobId(), State: wire.JobState_complete, Verdict: classifier.Ran}, nil
}

func (*fakeBackend) Find(context.Context, *wire.Locate, []string, bool) (*wire.JobAnswer, error) {
	return nil, forwarder.ErrUnknownJob
}
func (*fakeBackend) Issue(int) ([]string, error)            { return []string{"a"}, nil }
func (*fakeBackend) Request(string, string, int)            {}
func (*fakeBackend) Response(string, string, time.Duration) {}

func (*fakeBackend) RequestDropped(string) {}

func (*fakeBackend) CallerLimited(string) {}

func (*fakeBackend) Service(name string) *wire.ServiceConfiguration {
	if name != "s" {
		return nil
	}
	return &wire.ServiceConfiguration{
		Service: "s", DefaultDeadlineMs: 10_000, MaxTasks: 2, MaxInputBytes: 4, Tenants: []*wire.Tenant{{
			Name: "t", TokenSha256: "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae", // foo
		}},
	}
}

// TestRejectsInvalidRequests checks that each invalid request gets a 4xx status
// with a one-line body, and that nothing is submitted for it.
func TestRejectsInvalidRequests(t *testing.T) {
	in := func(d time.Duration) string { return time.Now().Add(d).UTC().Format(time.RFC3339Nano) }
	good := `{"job_id":"x","attempt":1,"deadline":"` + in(time.Second) + `","tasks":[{"input":"MQ=="}]}`
	for _, c := range []struct {
		name, method, path, token, body string
		status                          int
	}{
		{"good", "POST", "/v1/services/s/jobs", "foo", good, 200},
		{"refused by the home", "POST", "/v1/services/s/jobs", "foo", strings.Replace(good, `"x"`, `"refused"`, 1), 503},
		{"no token", "POST", "/v1/services/s/jobs", "", good, 401},
		{"wrong token", "POST", "/v1/services/s/jobs", "bar", good, 401},
		{"unknown service", "POST", "/v1/services/z/jobs", "foo", good, 404},
		{"no JSON", "POST", "/v1/services/s/jobs", "foo", `{`, 400},
		{"unknown field", "POST", "/v1/services/s/jobs", "foo", `{"jobs":1}`, 400},
		{"no task", "POST", "/v1/services/s/jobs", "foo", `{"job_id":"x","attempt":1}`, 400},
		{"too many tasks", "POST", "/v1/services/s/jobs", "foo", `{"tasks":[{},{},{}]}`, 400},
		{"large input", "POST", "/v1/services/s/jobs", "foo", `{"tasks":[{"input":"MTIzNDU2"}]}`, 400},
		{"bad identifier", "POST", "/v1/services/s/jobs", "foo", `{"job_id":"a b","attempt":1,"tasks":[{}]}`, 400},
		{"no attempt", "POST", "/v1/services/s/jobs", "foo", `{"job_id":"x","tasks":[{}]}`, 400},
		{"no deadline", "POST", "/v1/services/s/jobs", "foo", `{"job_id":"x","attempt":1,"tasks":[{}]}`, 400},
		{"deadline too far", "POST", "/v1/services/s/jobs", "foo", `{"job_id":"x","attempt":1,"deadline":"` + in(time.Hour) + `","tasks":[{}]}`, 400},
		{"bad deadline", "POST", "/v1/services/s/jobs", "foo", `{"deadline":"soon","tasks":[{}]}`, 400},
		{"other service in the body", "POST", "/v1/services/s/jobs", "foo", `{"service":"z","tasks":[{}]}`, 400},
		{"unknown job", "GET", "/v1/services/s/jobs/y", "foo", "", 404},
		{"too many identifiers", "POST", "/v1/services/s/job-ids?count=1001", "foo", "", 400},
		{"other method", "PUT", "/v1/services/s/jobs", "foo", good, 405},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeBackend{}
			s := &Server{Jobs: f, Services: f, Recorder: f, Ready: func() bool { return true }}
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			if c.token != "" {
				r.Header.Set("Authorization", "Bearer "+c.token)
			}
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, r)
			if w.Code != c.status {
				t.Fatalf("status %d, want %d: %s", w.Code, c.status, w.Body)
			}
			if w.Code/100 == 4 && (f.submitted != 0 || strings.Count(strings.TrimSpace(w.Body.String()), "\n") > 0) {
				t.Errorf("%d submitted, body %s", f.submitted, w.Body)
			}
			if w.Code == http.StatusServiceUnavailable && w.Header().Get("Retry-After") != "2" {
				t.Errorf("Retry-After %q", w.Header().Get("Retry-After"))
			}
		})
	}
}

// FuzzDecodeJob searches for bodies that crash the decoder or pass validation
// with too many tasks.
func FuzzDecodeJob(f *testing.F) {
	f.Add(contentJSON, []byte(`{"job_id":"x","attempt":1,"tasks":[{"input":"MQ=="}]}`))
	f.Add(contentProtobuf, []byte{10, 1, 120})
	s := (&fakeBackend{}).Service("s")
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		j, err := DecodeJob(kind, data)
		if err == nil && validate(j, s) == nil && len(j.GetTasks()) > 2 {
			t.Error("too many tasks were accepted")
		}
	})
}
