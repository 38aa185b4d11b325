package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"radishweir.org/lib/classifier"
	"radishweir.org/lib/drainer"
	"radishweir.org/lib/placer"
	"radishweir.org/lib/wire"
)

// Content types of request and response bodies.
const (
	contentJSON     = "application/json"
	contentProtobuf = "application/x-protobuf"
)

// StatusError is a request that was refused with a 4xx status.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	// Reason is a one-line, human-readable message.
	Reason string
}

// Error returns the reason.
func (e *StatusError) Error() string { return e.Reason }

func refuse(status int, reason string) error { return &StatusError{status, reason} }

// statusWriter records the response status for the metrics.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// readJob decodes a submission. The memory of its body and of its tasks counts until it is
// answered.
func readJob(r *http.Request) (*wire.JobRequest, error) {
	data, err := drainer.ReadBody(r, MaxBodyBytes)
	var refused *drainer.RefusedError
	switch {
	case errors.As(err, &refused):
		return nil, refuse(http.StatusTooManyRequests, refused.Error())
	case errors.Is(err, drainer.ErrBodyTooLarge):
		return nil, refuse(http.StatusRequestEntityTooLarge, "the body exceeds 16 MiB")
	case err != nil:
		return nil, refuse(http.StatusBadRequest, "the body broke off")
	}
	kind := r.Header.Get("Content-Type")
	if err := drainer.Reserve(r.Context(), int64(len(data)+countTasks(kind, data)*taskMemory)); err != nil {
		return nil, refuse(http.StatusTooManyRequests, err.Error())
	}
	job, err := DecodeJob(kind, data)
	drainer.Release(r.Context(), int64(cap(data)))
	return job, err
}

// taskMemory is the memory in bytes of a task without its input.
const taskMemory = 256

// countTasks returns a number that is not lower than that of the tasks in an encoded job, and
// for a valid job close to it.
func countTasks(contentType string, data []byte) int {
	if contentType != contentProtobuf {
		return bytes.Count(data, []byte{'{'})
	}
	n := 0
	for len(data) > 0 {
		_, _, size := protowire.ConsumeField(data)
		if size < 0 {
			break
		}
		data = data[size:]
		n++
	}
	return n
}

// DecodeJob decodes a submission. Any content type other than protobuf is
// decoded as JSON.
func DecodeJob(contentType string, data []byte) (*wire.JobRequest, error) {
	// An empty task takes two bytes, so that a small body could hold millions.
	if countTasks(contentType, data) > MaxTasks+otherValues {
		return nil, refuse(http.StatusBadRequest, "a job may have at most "+strconv.Itoa(MaxTasks)+" tasks")
	}
	job := &wire.JobRequest{}
	if contentType == contentProtobuf {
		if err := proto.Unmarshal(data, job); err != nil {
			return nil, refuse(http.StatusBadRequest, "the body is no job in protobuf")
		}
		return job, nil
	}
	if err := protojson.Unmarshal(data, job); err != nil {
		return nil, refuse(http.StatusBadRequest, "the body is no job in JSON: "+oneLine(err))
	}
	return job, nil
}

// otherValues is the number of values of a job beside its tasks that countTasks may count.
const otherValues = 100

// oneLine quotes an error message so that it fits on one line.
func oneLine(err error) string {
	return strconv.QuoteToGraphic(err.Error())
}

// validate returns a refusal if a submission is invalid or exceeds a limit.
func validate(j *wire.JobRequest, s *wire.ServiceConfiguration) error {
	limit := MaxTasks
	if n := int(s.GetMaxTasks()); n > 0 {
		limit = min(limit, n)
	}
	switch {
	case j.GetService() != "" && j.GetService() != s.GetService():
		return refuse(http.StatusBadRequest, "the body names another service than the path")
	case len(j.GetTasks()) == 0:
		return refuse(http.StatusBadRequest, "a job needs at least one task")
	case len(j.GetTasks()) > limit:
		return refuse(http.StatusBadRequest, "a job may have at most "+strconv.Itoa(limit)+" tasks")
	case j.GetJobId() != "" && !placer.ValidIdentifier(j.GetJobId()):
		return refuse(http.StatusBadRequest, "job_id must be 1 to 128 letters, digits, or . : _ -")
	case j.GetJobId() != "" && !s.GetRepeatable() && j.GetAttempt() == 0:
		return refuse(http.StatusBadRequest, "attempt is required: 1 on the first submission of a job_id, one more each time")
	case j.GetJobId() != "" && !s.GetRepeatable() && j.GetDeadline() == nil:
		return refuse(http.StatusBadRequest, "deadline is required with a job_id: it limits how long a submission can be on its way")
	case deadlineTooFarAhead(j, s):
		return refuse(http.StatusBadRequest, "deadline may be at most "+strconv.Itoa(int(s.GetDefaultDeadlineMs()))+" ms ahead")
	case j.GetDeadline() != nil && j.GetDeadline().CheckValid() != nil:
		return refuse(http.StatusBadRequest, "deadline is no valid time")
	}
	for i, t := range j.GetTasks() {
		if n := int(s.GetMaxInputBytes()); n > 0 && len(t.GetInput()) > n {
			return refuse(http.StatusBadRequest, "the input of task "+strconv.Itoa(i)+" exceeds "+strconv.Itoa(n)+" bytes")
		}
	}
	return nil
}

// deadlineTooFarAhead reports whether a job of a non-repeatable service has a
// deadline beyond the service's default deadline plus its clock margin.
func deadlineTooFarAhead(j *wire.JobRequest, s *wire.ServiceConfiguration) bool {
	span := time.Duration(s.GetDefaultDeadlineMs()+s.GetClockMarginMs()) * time.Millisecond
	return j.GetDeadline() != nil && !s.GetRepeatable() && time.Until(j.GetDeadline().AsTime()) > span
}

// writeAnswer sends an answer with its HTTP status, and Retry-After rounded up to
// whole seconds.
func writeAnswer(w http.ResponseWriter, r *http.Request, a *wire.JobAnswer) error {
	if ms := a.GetRetryAfterMs(); ms > 0 {
		d := time.Duration(ms) * time.Millisecond
		w.Header().Set("Retry-After", strconv.Itoa(int((d+time.Second-1)/time.Second)))
	}
	return writeMessage(w, r, statusOf(a), a)
}

// statusOf maps an answer to an HTTP status.
func statusOf(a *wire.JobAnswer) int {
	switch {
	case a.GetState() == wire.JobState_complete:
		return http.StatusOK
	case a.GetState() != wire.JobState_failed:
		return http.StatusAccepted
	case a.GetVerdict() == classifier.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// writeMessage encodes m as protobuf if the caller accepts it, and as JSON
// otherwise.
func writeMessage(w http.ResponseWriter, r *http.Request, status int, m proto.Message) error {
	kind, encode := contentJSON, protojson.MarshalOptions{UseProtoNames: true}.Marshal
	if r.Header.Get("Accept") == contentProtobuf {
		kind, encode = contentProtobuf, proto.Marshal
	}
	data, err := encode(m)
	if err != nil {
		return refuse(http.StatusInternalServerError, "the answer cannot be encoded")
	}
	w.Header().Set("Content-Type", kind)
	w.WriteHeader(status)
	_, _ = w.Write(data)
	return nil
}

// errorBody is the JSON body of a refused request.
type errorBody struct {
	Error string `json:"error"`
}

// writeError sends an error as one line of JSON, with status 503 unless it is a
// StatusError.
func writeError(w http.ResponseWriter, _ *http.Request, err error) {
	status := http.StatusServiceUnavailable
	var e *StatusError
	if errors.As(err, &e) {
		status = e.Status
	}
	if status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(int(memoryRetry.Seconds())))
	}
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{err.Error()})
}
