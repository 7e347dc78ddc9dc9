// Package download gets checked content from target stand-ins with an ordinary HTTP client.
package download
