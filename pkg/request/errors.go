package request

import "errors"

// errBadTimeout means that HeaderTimeout is not a number of milliseconds.
var errBadTimeout = errors.New(HeaderTimeout + " must be a whole number of milliseconds")
