package platformer

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// keyRange is a key or a range of keys.
type keyRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

// keyValue is one key and its value in a response.
type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

type header struct {
	Revision int64 `json:"revision,string"`
}

func (p *Platform) rangeKeys(w http.ResponseWriter, r *http.Request) {
	var q keyRange
	if !decode(w, r, &q) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var a struct {
		Header header     `json:"header"`
		KVs    []keyValue `json:"kvs,omitempty"`
	}
	a.Header.Revision = p.revision
	for _, k := range p.matching(string(q.Key), string(q.RangeEnd)) {
		v := p.keys[k]
		a.KVs = append(a.KVs, keyValue{[]byte(k), v.data, v.mod})
	}
	encode(w, a)
}

// txnRequest is a transaction: a compare-and-swap of several keys.
type txnRequest struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []struct {
		Put *struct {
			Key   []byte `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease,string"`
		} `json:"request_put"`
		DeleteRange *keyRange `json:"request_delete_range"`
	} `json:"success"`
}

func (p *Platform) txn(w http.ResponseWriter, r *http.Request) {
	var q txnRequest
	if !decode(w, r, &q) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var a struct {
		Header    header `json:"header"`
		Succeeded bool   `json:"succeeded"`
	}
	a.Succeeded = true
	for _, c := range q.Compare {
		if p.keys[string(c.Key)].mod != c.ModRevision {
			a.Succeeded = false
		}
	}
	if a.Succeeded {
		p.apply(q)
	}
	a.Header.Revision = p.revision
	encode(w, a)
}

// apply performs the writes of a transaction; the caller holds the lock.
func (p *Platform) apply(q txnRequest) {
	p.revision++
	for _, op := range q.Success {
		if op.Put != nil {
			p.put(string(op.Put.Key), op.Put.Value, op.Put.Lease)
		}
		if op.DeleteRange == nil {
			continue
		}
		for _, k := range p.matching(string(op.DeleteRange.Key), string(op.DeleteRange.RangeEnd)) {
			p.remove(k)
		}
	}
	p.notify()
}

type leaseMessage struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

func (p *Platform) grant(w http.ResponseWriter, r *http.Request) {
	var q leaseMessage
	if !decode(w, r, &q) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastLease++
	p.leases[p.lastLease] = lease{time.Now().Add(secondsToDuration(q.TTL)), q.TTL}
	encode(w, leaseMessage{p.lastLease, q.TTL})
}

func (p *Platform) keepAlive(w http.ResponseWriter, r *http.Request) {
	var q leaseMessage
	if !decode(w, r, &q) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.leases[q.ID]
	if ok {
		l.expiresAt = time.Now().Add(secondsToDuration(l.ttl))
		p.leases[q.ID] = l
	}
	var a struct {
		Result leaseMessage `json:"result"`
	}
	a.Result = leaseMessage{q.ID, l.ttl}
	encode(w, a)
}

type watchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   keyValue `json:"kv"`
}

type watchResult struct {
	Result struct {
		Header          header       `json:"header"`
		Canceled        bool         `json:"canceled,omitempty"`
		CompactRevision int64        `json:"compact_revision,string,omitempty"`
		Events          []watchEvent `json:"events,omitempty"`
	} `json:"result"`
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Create struct {
			keyRange
			StartRevision int64 `json:"start_revision,string"`
		} `json:"create_request"`
	}
	if !decode(w, r, &q) {
		return
	}
	flusher := http.NewResponseController(w)
	next := q.Create.StartRevision
	for r.Context().Err() == nil {
		p.mu.Lock()
		p.expireLeases(time.Now())
		faults, changed := p.faults, p.changed
		res := p.eventsSince(next, string(q.Create.Key), string(q.Create.RangeEnd))
		p.mu.Unlock()
		if faults.Down || res.Result.Header.Revision+1 < next {
			return
		}
		if !faults.SilentWatches {
			next = res.Result.Header.Revision + 1
			encode(w, res)
			_ = flusher.Flush()
		}
		select {
		case <-r.Context().Done():
		case <-changed:
		case <-time.After(progressInterval):
		}
	}
}

// eventsSince returns the events from revision next on; the caller holds the
// lock.
func (p *Platform) eventsSince(next int64, key, end string) watchResult {
	var res watchResult
	res.Result.Header.Revision = p.revision
	if next <= p.compacted {
		res.Result.Canceled, res.Result.CompactRevision = true, p.compacted
	}
	for i := len(p.history) - 1; i >= 0 && p.history[i].mod >= next; i-- {
		e := p.history[i]
		if !inRange(e.key, key, end) {
			continue
		}
		we := watchEvent{KV: keyValue{[]byte(e.key), e.data, e.mod}}
		if e.deleted {
			we.Type = "DELETE"
		}
		res.Result.Events = append([]watchEvent{we}, res.Result.Events...)
	}
	return res
}

// Compact discards the history up to the current revision.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.compacted = p.revision
	p.history = nil
}

func (p *Platform) vms(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rev := strconv.FormatUint(p.vmsRevision, 10)
	if trimQuotes(r.Header.Get("If-None-Match")) == rev {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	encode(w, struct {
		Revision string          `json:"revision"`
		VMs      json.RawMessage `json:"vms"`
	}{rev, p.visibleVMs})
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v)
}
