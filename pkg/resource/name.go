package resource

// IsName reports whether v is a DNS label in lower case (RFC 1123), as names of services and processes must be.
func IsName(v string) bool { return dnsLabel.MatchString(v) }
