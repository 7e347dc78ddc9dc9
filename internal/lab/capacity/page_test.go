package capacity

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

var pagePath = filepath.Join("..", "..", "..", "docs", "CAPACITY.md")

// The tables of the page must match the stored samples.
func TestPageMatchesTheSamples(t *testing.T) {
	page, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	s, err := ReadSamples(pagePath)
	require.NoError(t, err)
	again, err := render(string(page), s)
	require.NoError(t, err)
	require.Equal(t, string(page), again, "regenerate the page: go run ./cmd/auburnwood-lab capacity --render")
}

// Each series must have been measured at three or more sizes.
func TestSamplesAreComplete(t *testing.T) {
	s, err := ReadSamples(pagePath)
	require.NoError(t, err)
	for _, p := range probes() {
		for _, o := range p.outputs {
			one, ok := s.Series(o.name)
			require.True(t, ok, o.name)
			require.GreaterOrEqual(t, len(one.Sizes()), 3, o.name)
		}
	}
}

func TestReplaceRequiresBothMarkers(t *testing.T) {
	const begin, end = "<!-- capacity x begin: written by auburnwood-lab capacity -->", "<!-- capacity x end -->"
	got, err := replace("a\n"+begin+"\nold\n"+end+"\nb", section{name: "x", text: "new\n"})
	require.NoError(t, err)
	require.Equal(t, "a\n"+begin+"\nnew\n"+end+"\nb", got)
	for _, page := range []string{"", begin, end + begin} {
		_, err := replace(page, section{name: "x"})
		require.Error(t, err, page)
	}
}

func TestFit(t *testing.T) {
	s := Series{Points: []Point{{1, 13}, {2, 15}, {4, 21}, {1, 11}, {2, 17}, {4, 19}}}
	f := s.Fit()
	require.InDelta(t, 94, f.At(33.0), 7, "a line through points near 10 + 2.5 x")
	require.InDelta(t, 2.0/12, f.Spread, 1e-9)
	s = Series{Doublings: true, Points: []Point{{8, 3}, {16, 4}, {32, 5}}}
	f = s.Fit()
	require.InDelta(t, 1, f.Slope, 1e-9)
	require.InDelta(t, 9, f.At(s.scale(512)), 1e-9)
	require.InDelta(t, 0, f.Residual, 1e-9)
}

func TestFigureSumsItsTerms(t *testing.T) {
	s := Samples{Probes: []ProbeSamples{{Series: []Series{{Name: "a", Points: []Point{{1, 12}, {2, 14}, {3, 16}}}}}}}
	f := figure{name: "x", unit: "kB", scale: 0.001, budget: 1, terms: []term{at("a", 100), slope("a", 100).by(3, "copies"), constant(5, "spare")}}
	v, err := f.value(s)
	require.NoError(t, err)
	require.InDelta(t, (10+200+600+5)*0.001, v, 1e-9)
	require.Equal(t, "1: holds", f.verdict(v))
	require.Equal(t, "1: **exceeded**", f.verdict(1.2))
	f.terms = append(f.terms, at("b", 1))
	_, err = f.value(s)
	require.ErrorContains(t, err, `"b"`)
}

func TestLimitAt(t *testing.T) {
	s := Samples{Probes: []ProbeSamples{{Series: []Series{
		{Name: "a", Points: []Point{{1, 12}, {2, 14}, {3, 16}}}, {Name: "b", Points: []Point{{1, 5}, {2, 5}, {3, 5}}},
	}}}}
	size, err := limit{series: "a", allowed: 35, rest: []term{at("b", 9)}}.at(s)
	require.NoError(t, err)
	require.InDelta(t, 10, size, 1e-9)
	size, err = limit{series: "a", allowed: 9}.at(s)
	require.NoError(t, err)
	require.Zero(t, size, "used up by the intercept")
	_, err = limit{series: "c"}.at(s)
	require.Error(t, err)
}
