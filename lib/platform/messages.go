package platform

// The messages follow etcd's published JSON mapping, as described for the gRPC
// gateway of the etcd v3 API: 64-bit numbers are strings and bytes are base64.

type header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

type kv struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
}

func (k kv) keyValue() KeyValue {
	return KeyValue{Key: string(k.Key), Value: k.Value, Revision: k.ModRevision}
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header header `json:"header"`
	KVs    []kv   `json:"kvs"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type requestOp struct {
	Put         *putRequest   `json:"request_put,omitempty"`
	DeleteRange *rangeRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare,omitempty"`
	Success []requestOp `json:"success"`
}

// add appends one write and, unless it is unconditional, its comparison.
func (q *txnRequest) add(w Write) {
	if !w.Unconditional {
		q.Compare = append(q.Compare, compare{
			Key: []byte(w.Key), Target: "MOD", Result: "EQUAL", ModRevision: w.Expected,
		})
	}
	op := requestOp{Put: &putRequest{Key: []byte(w.Key), Value: w.Value, Lease: w.Lease}}
	if w.Delete {
		op = requestOp{DeleteRange: &rangeRequest{Key: []byte(w.Key)}}
	}
	q.Success = append(q.Success, op)
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

type leaseRequest struct {
	TTL int64 `json:"TTL,string,omitempty"`
	ID  int64 `json:"ID,string,omitempty"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type watchRequest struct {
	Create struct {
		Key            []byte `json:"key"`
		RangeEnd       []byte `json:"range_end,omitempty"`
		StartRevision  int64  `json:"start_revision,string,omitempty"`
		ProgressNotify bool   `json:"progress_notify,omitempty"`
	} `json:"create_request"`
}

type watchEvent struct {
	Type string `json:"type,omitempty"`
	KV   kv     `json:"kv"`
}

type watchResponse struct {
	Result struct {
		Header          header       `json:"header"`
		Canceled        bool         `json:"canceled,omitempty"`
		CompactRevision int64        `json:"compact_revision,string,omitempty"`
		Events          []watchEvent `json:"events,omitempty"`
	} `json:"result"`
}

// prefixEnd returns the first key after all keys that start with prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
