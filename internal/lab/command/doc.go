// Package command is the command line of auburnwood-lab.
package command
