// Package wire holds the messages that cross a process boundary.
//
// The types are generated from wire.proto and committed, so that a build
// needs no generator. JSON forms use the schema's snake_case names.
//
// # Usage
//
// Run `make generate` after a change to wire.proto. Encode with proto.Marshal
// between entries and with protojson (UseProtoNames) towards callers,
// operators and the platform.
package wire
