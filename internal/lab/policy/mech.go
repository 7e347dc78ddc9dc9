package policy

import "github.com/auburnwood/auburnwood/pkg/dsr/policy"

func policyMechanisms() []policy.Mechanism { return policy.Mechanisms() }
