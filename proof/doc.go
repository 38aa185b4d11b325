// Package proof tests the real programs as separate processes.
//
// The tests start stand-ins for the platform and the upstreams, and start the
// entries as they run in production. They cause faults by signals and admin
// calls, and check the upstreams' own records of the tasks that they started.
//
// # Usage
//
//	go test -race ./...
package proof
