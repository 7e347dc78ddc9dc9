// Package demo shows a small installation at work: requests of ordinary HTTP clients, a drain, a death and a refusal.
package demo
