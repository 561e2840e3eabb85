// Package wire holds the messages of the operators' calls. The rest of it is
// generated from operators.proto and committed, so that a build needs no
// generator.
package wire
