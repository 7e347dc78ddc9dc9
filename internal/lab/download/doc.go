// Package download downloads content from target stand-ins with an ordinary HTTP client and verifies it.
package download
