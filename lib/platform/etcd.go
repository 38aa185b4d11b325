package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"radishweir.org/lib/wire"
)

// silenceLimit is how long a watch may deliver neither events nor progress
// notifications before it is ended.
const silenceLimit = 5 * time.Second

// Counter counts calls to the platform by operation.
type Counter interface {
	// Count adds one call of the operation with its result.
	Count(operation, result string)
}

// Etcd implements Store on etcd's JSON gateway and Lister on HTTP. The exported
// fields are set before the first call.
type Etcd struct {
	// Addresses are the IP addresses and ports of the service.
	Addresses []string
	// Counter counts the calls. It may be nil.
	Counter Counter
	// Client performs the requests; nil takes one with its own connections.
	Client *http.Client

	next atomic.Uint32
}

// NewEtcd returns a client with its own connection pool.
func NewEtcd(addresses []string, c Counter) *Etcd {
	t := &http.Transport{
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Etcd{Addresses: addresses, Counter: c, Client: &http.Client{Transport: t}}
}

// Get reads one key. A missing key has revision 0.
func (e *Etcd) Get(ctx context.Context, key string) (KeyValue, error) {
	var r rangeResponse
	if err := e.call(ctx, "get", "/v3/kv/range", rangeRequest{Key: []byte(key)}, &r); err != nil {
		return KeyValue{}, err
	}
	if len(r.KVs) == 0 {
		return KeyValue{Key: key}, nil
	}
	return r.KVs[0].keyValue(), nil
}

// List reads all keys that start with prefix.
func (e *Etcd) List(ctx context.Context, prefix string) (Snapshot, error) {
	var r rangeResponse
	q := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if err := e.call(ctx, "list", "/v3/kv/range", q, &r); err != nil {
		return Snapshot{}, err
	}
	s := Snapshot{Revision: r.Header.Revision}
	for _, kv := range r.KVs {
		s.KeyValues = append(s.KeyValues, kv.keyValue())
	}
	return s, nil
}

// Swap applies all writes or none and returns the new revision.
func (e *Etcd) Swap(ctx context.Context, writes ...Write) (int64, error) {
	q := txnRequest{}
	for _, w := range writes {
		if len(w.Value) > MaxValueBytes {
			return 0, errors.Errorf("value of %s has %d bytes; allowed are %d", w.Key, len(w.Value), MaxValueBytes)
		}
		q.add(w)
	}
	var r txnResponse
	if err := e.call(ctx, "swap", "/v3/kv/txn", q, &r); err != nil {
		return 0, err
	}
	if !r.Succeeded {
		return 0, ErrConflict
	}
	return r.Header.Revision, nil
}

// Grant creates a lease of ttl seconds.
func (e *Etcd) Grant(ctx context.Context, ttl int64) (int64, error) {
	var r leaseResponse
	err := e.call(ctx, "grant", "/v3/lease/grant", leaseRequest{TTL: ttl}, &r)
	return r.ID, err
}

// KeepAlive renews a lease. It returns false if the lease has expired.
func (e *Etcd) KeepAlive(ctx context.Context, lease int64) (bool, error) {
	var r keepAliveResponse
	if err := e.call(ctx, "keepalive", "/v3/lease/keepalive", leaseRequest{ID: lease}, &r); err != nil {
		return false, err
	}
	return r.Result.TTL > 0, nil
}

// Watch calls f for each batch of changes to keys with the prefix, starting at
// revision. It requests progress notifications and returns ErrUnavailable if they
// stop.
func (e *Etcd) Watch(ctx context.Context, prefix string, revision int64, f func([]Event, int64)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(silenceLimit, cancel)
	defer silenceTimer.Stop()
	var q watchRequest
	q.Create.Key = []byte(prefix)
	q.Create.RangeEnd = prefixEnd(prefix)
	q.Create.StartRevision = revision
	q.Create.ProgressNotify = true
	resp, err := e.send(ctx, "/v3/watch", q)
	e.count("watch", err)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return readWatch(json.NewDecoder(resp.Body), func(b []Event, rev int64) {
		silenceTimer.Reset(silenceLimit)
		f(b, rev)
	})
}

// readWatch decodes responses until the stream ends.
func readWatch(d *json.Decoder, f func([]Event, int64)) error {
	for {
		var r watchResponse
		if err := d.Decode(&r); err != nil {
			return errors.Wrap(ErrUnavailable, err.Error())
		}
		if r.Result.CompactRevision > 0 {
			return ErrCompacted
		}
		if r.Result.Canceled {
			return ErrUnavailable
		}
		var batch []Event
		for _, ev := range r.Result.Events {
			batch = append(batch, Event{KeyValue: ev.KV.keyValue(), Deleted: ev.Type == "DELETE"})
		}
		f(batch, r.Result.Header.Revision)
	}
}

// VMs returns the VM list, or nil if it has not changed since revision since.
func (e *Etcd) VMs(ctx context.Context, since uint64) (*wire.VMList, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.address()+"/v1/vms", nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("If-None-Match", strconv.FormatUint(since, 10))
	resp, err := e.Client.Do(r)
	e.count("vms", err)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	}
	list := &wire.VMList{}
	if err := protojson.Unmarshal(data, list); err != nil {
		return nil, errors.Wrap(err, "the VM list cannot be read")
	}
	return list, nil
}

// call sends q to path and decodes the answer into r.
func (e *Etcd) call(ctx context.Context, operation, path string, q, r any) error {
	err := e.exchange(ctx, path, q, r)
	e.count(operation, err)
	return err
}

func (e *Etcd) exchange(ctx context.Context, path string, q, r any) error {
	resp, err := e.send(ctx, path, q)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	if err := json.Unmarshal(data, r); err != nil {
		return errors.Wrap(ErrUnknown, "the answer cannot be read")
	}
	return nil
}

// send posts q and returns the response. Its error is ErrUnavailable if the request
// certainly had no effect and ErrUnknown if it may have arrived.
func (e *Etcd) send(ctx context.Context, path string, q any) (*http.Response, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.address()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := e.Client.Do(r)
	switch {
	case err != nil && sent:
		return nil, errors.Wrap(ErrUnknown, err.Error())
	case err != nil:
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	case resp.StatusCode == http.StatusServiceUnavailable:
		_ = resp.Body.Close()
		return nil, ErrUnavailable
	case resp.StatusCode != http.StatusOK:
		_ = resp.Body.Close()
		return nil, errors.Wrapf(ErrUnknown, "status %d", resp.StatusCode)
	}
	return resp, nil
}

// address returns the next address, round-robin.
func (e *Etcd) address() string {
	return e.Addresses[int(e.next.Add(1))%len(e.Addresses)]
}

func (e *Etcd) count(operation string, err error) {
	if e.Counter == nil {
		return
	}
	e.Counter.Count(operation, resultLabel(err))
}

// resultLabel returns the metric's label for the outcome of a call.
func resultLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrUnavailable):
		return "unavailable"
	case errors.Is(err, ErrUnknown):
		return "unknown"
	}
	return "error"
}
