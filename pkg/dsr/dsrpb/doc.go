// Package dsrpb holds the datagrams that the balancers and agents of pass-through services exchange.
package dsrpb
