// Package archtest checks the direction of imports between the packages of the module.
package archtest
