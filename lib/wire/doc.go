// Package wire holds the messages that are sent between processes or kept in the
// platform's store.
//
// The types are generated from wire.proto and peer.proto and committed, so that a
// build needs no generator. The JSON forms use the schema's snake_case names.
//
// # Usage
//
// Run `make generate` after a change to a .proto file. Encode with proto.Marshal
// between entries and with protojson (UseProtoNames) towards callers,
// operators and the platform.
package wire
