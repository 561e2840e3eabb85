// Package wire contains the protobuf messages and the gRPC stubs of the operators'
// service. The other files are generated from operators.proto. They are committed
// so that a build does not need the generator.
package wire
