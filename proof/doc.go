// Package proof tests the real programs as separate processes.
//
// The tests start the platform and upstreams as stand-ins and the entries as
// they run in production, cause faults by signals and admin calls, and judge by
// the upstreams' own records of what they started.
//
// # Usage
//
//	go test -race ./...
package proof
