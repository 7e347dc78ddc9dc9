package rollout

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/mathext"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// priorSigma is the standard deviation of the logarithm of the ratio of both rates in the prior: most new versions
	// fail about as often as the old one, few fail three times as often.
	priorSigma = 1.0
	// priorShape and priorExposure are shape and rate of the gamma prior of the old version's failure rate: the shape
	// of the Jeffreys prior, and one request to make it proper.
	priorShape    = 0.5
	priorExposure = 1.0
	// brokenPrior is the prior probability that a new version fails at a rate independent of the old one's.
	brokenPrior = 0.01
	// gridSteps and gridRange define the grid over the logarithm of the ratio.
	gridSteps = 121
	gridRange = 6.0
)

// harmProbability returns the probability that the new version is harmful, given the counts. It mixes two models: the
// failure rate is a multiple of the old version's (ratioModel), or independent of it (brokenModel).
func harmProbability(e Evidence, l Limits) float64 {
	ratio, badRatio := ratioModel(e, l)
	own, badOwn := brokenModel(e, l)
	top := max(ratio, own)
	likely := (1 - brokenPrior) * math.Exp(ratio-top)
	broken := brokenPrior * math.Exp(own-top)
	return (likely*badRatio + broken*badOwn) / (likely + broken)
}

// ratioModel returns the log likelihood of the counts, and the probability of harm, when the new version fails at a
// multiple of the old version's rate. Factors that both models share are omitted from the likelihood.
//
// Failures are modelled as Poisson counts with rates λ and ρλ per request. The rate λ has a Jeffreys prior and is
// integrated in closed form, which leaves a sum over the ratio ρ. A change of λ that both versions share, such as a
// load spike, cancels out of the likelihood of ρ as long as the weights stay the same; so each step has its own λ, and
// the steps of a rollout share ρ.
func ratioModel(e Evidence, l Limits) (likelihood, harmful float64) {
	prior := distuv.Normal{Mu: 0, Sigma: priorSigma}
	logs := make([]float64, gridSteps)
	top := math.Inf(-1)
	for i := range logs {
		x := gridAt(i)
		logs[i] = prior.LogProb(x) + logLikelihood(e.counts(), math.Exp(x))
		for _, past := range e.Past {
			logs[i] += logLikelihood(past, math.Exp(x))
		}
		top = max(top, logs[i])
	}
	var all, bad float64
	for i, v := range logs {
		w := math.Exp(v - top)
		all += w
		bad += w * harmAtRatio(e, l, math.Exp(gridAt(i)))
	}
	step := gridAt(1) - gridAt(0)
	return top + math.Log(all*step), bad / all
}

// brokenModel is ratioModel for a version whose failure rate is independent of the old version's, with a uniform prior.
// Without it a few requests that all fail would be attributed to chance, because an old version that hardly ever fails
// makes a high ratio improbable.
func brokenModel(e Evidence, l Limits) (likelihood, harmful float64) {
	var all Counts
	for _, c := range append(slices.Clone(e.Past), e.counts()) {
		n, f := float64(c.New.Requests), float64(c.New.Failures)
		shape := float64(c.Old.Failures) + priorShape
		likelihood += logGamma(shape) - shape*math.Log(priorExposure+float64(c.Old.Requests))
		if n > 0 {
			likelihood += logGamma(n+1) - logGamma(n-f+1) - f*math.Log(n)
		}
		all = all.Plus(c.New)
	}
	failed, good := float64(all.Failures)+1, float64(all.Requests-all.Failures)+1
	likelihood += logGamma(failed) + logGamma(good) - logGamma(failed+good)
	limit := min(max(l.budget(), l.MaxBurnRatio*e.Old.Rate()), 1)
	return likelihood, 1 - mathext.RegIncBeta(failed, good, limit)
}

func logGamma(x float64) float64 {
	v, _ := math.Lgamma(x)
	return v
}

func gridAt(i int) float64 { return -gridRange + 2*gridRange*float64(i)/(gridSteps-1) }

// logLikelihood returns the log likelihood of the ratio, with λ integrated out.
func logLikelihood(e StepCounts, ratio float64) float64 {
	shape := float64(e.Old.Failures+e.New.Failures) + priorShape
	return logGamma(shape) + float64(e.New.Failures)*math.Log(ratio) - shape*math.Log(exposure(e, ratio))
}

// harmAtRatio returns the probability, for a given ratio, that the new version is harmful at the rates of the current
// step.
func harmAtRatio(e Evidence, l Limits, ratio float64) float64 {
	if ratio <= l.MaxBurnRatio {
		return 0
	}
	shape := float64(e.Old.Failures+e.New.Failures) + priorShape
	return mathext.GammaIncRegComp(shape, l.budget()/ratio*exposure(e.counts(), ratio))
}

func exposure(e StepCounts, ratio float64) float64 {
	return priorExposure + float64(e.Old.Requests) + ratio*float64(e.New.Requests)
}
