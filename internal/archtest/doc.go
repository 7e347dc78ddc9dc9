// Package archtest checks architecture rules of the module: the direction of imports, what decision packages and the
// platform adapter may use, and that dependencies are documented.
package archtest
