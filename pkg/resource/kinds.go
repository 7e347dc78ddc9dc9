package resource

import "github.com/auburnwood/auburnwood/pkg/objectapi"

// Kinds of the objects that operators and the system store in the object API.
const (
	// KindService is a Service, written by operators.
	KindService objectapi.Kind = "service"
	// KindServiceStatus is a ServiceStatus, written by the holder of the compile lease.
	KindServiceStatus objectapi.Kind = "service-status"
	// KindDSRServiceStatus is a DSRServiceStatus; its name is the service's.
	KindDSRServiceStatus objectapi.Kind = "dsr-service-status"
	// KindRevision is a part of a Revision; its name begins with RevisionName of the number, see Head.Object.
	KindRevision objectapi.Kind = "revision"
	// KindHead is the Head; its name is HeadName.
	KindHead objectapi.Kind = "head"
	// KindLease is the lease of one duty.
	KindLease objectapi.Kind = "lease"
	// KindMembers is the membership of a data centre.
	KindMembers objectapi.Kind = "members"
	// KindRollout is the state of a service's rollout, written by the holder of the rollout lease.
	KindRollout objectapi.Kind = "rollout"
	// KindEvacuation is an Evacuation, written by operators; its name is the data centre.
	KindEvacuation objectapi.Kind = "evacuations"
	// KindEra is the Era; its name is EraName.
	KindEra objectapi.Kind = "era"
	// KindClaim is the claim of one idempotency key.
	KindClaim objectapi.Kind = "claim"
)

// HeadName is the name of the only object of KindHead.
const HeadName = "head"
