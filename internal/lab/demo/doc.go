// Package demo runs a small installation with ordinary HTTP clients through a drain, a balancer failure and a refusal.
package demo
