// Package command implements the command line of auburnwood-lab.
package command
