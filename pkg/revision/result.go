package revision

import "github.com/auburnwood/auburnwood/pkg/resource"

// Result is the outcome of compiling one stored service.
type Result struct {
	Name string
	// ObservedVersion is the object version that was compiled.
	ObservedVersion uint64
	// AcceptedVersion is the object version whose specification is in the revision; 0 when none is.
	AcceptedVersion uint64
	// ConfigVersion is the object version that the revision names; it is lower than AcceptedVersion when the service
	// was written again without a change.
	ConfigVersion uint64
	// Revision is the number of the revision if it introduced AcceptedVersion; 0 when an earlier one did.
	Revision uint64
	// Reason is resource.ReasonAccepted, or why the observed version is not accepted.
	Reason resource.ConditionReason
	// Message lists the invalid fields; empty when accepted.
	Message string
}

// Accepted reports whether the observed version is in the revision.
func (r Result) Accepted() bool { return r.Reason == resource.ReasonAccepted }

func buildResults(list []resource.VersionedService, rejected []resource.Rejected, old map[string]resource.ServiceConfig, rev resource.Revision) []Result {
	why := make(map[string]resource.Rejected, len(rejected))
	for _, j := range rejected {
		why[j.Service.Name] = j
	}
	now := byName(rev.Services)
	out := make([]Result, 0, len(list))
	for _, s := range list {
		r := Result{Name: s.Name, ObservedVersion: s.Version, Reason: resource.ReasonAccepted}
		if j, ok := why[s.Name]; ok {
			r.Reason = j.Reason
			r.Message = resource.JoinFieldErrors(j.Fields)
		}
		out = append(out, r.withAccepted(old, now, rev.Number))
	}
	return out
}

// withAccepted returns r with the versions that the revision holds for the service.
func (r Result) withAccepted(old, now map[string]resource.ServiceConfig, number uint64) Result {
	c, ok := now[r.Name]
	if !ok {
		return r
	}
	r.ConfigVersion = c.Version
	r.AcceptedVersion = c.Version
	if r.Accepted() {
		r.AcceptedVersion = r.ObservedVersion
	}
	if was, had := old[r.Name]; !had || was.Version != c.Version || !sameSpec(was.Spec, c.Spec) {
		r.Revision = number
	}
	return r
}

// rejected returns the number of services whose observed version is not accepted.
func rejected(list []Result) int {
	n := 0
	for _, r := range list {
		if !r.Accepted() {
			n++
		}
	}
	return n
}
