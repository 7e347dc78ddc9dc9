package revision

import (
	"flag"
	"os"
	"testing"
)

// historyChecks is the number of generated histories when -rapid.checks is not given.
const historyChecks = "15"

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		_ = flag.Set("rapid.checks", historyChecks)
	}
	os.Exit(m.Run())
}
