// Package peerpb is the code that protoc generates from proto/control.proto: the control calls between agents and balancers.
package peerpb
