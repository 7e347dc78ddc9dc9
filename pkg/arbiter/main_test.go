package arbiter

import (
	"flag"
	"os"
	"testing"
)

// historySeed and histories are the default seed and number of random histories, so that runs are reproducible.
const (
	historySeed = "1"
	histories   = "100"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "RAPID_SEED", historySeed)
	setDefault("rapid.checks", "RAPID_CHECKS", histories)
	os.Exit(m.Run())
}

// setDefault sets a flag that neither the command line nor the environment sets.
func setDefault(name, env, value string) {
	given := os.Getenv(env) != ""
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
