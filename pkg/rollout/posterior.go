package rollout

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/mathext"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// priorSigma is the standard deviation of the logarithm of the ratio of both rates before any evidence: most new
	// versions fail about as often as the old one, few fail three times as often.
	priorSigma = 1.0
	// priorShape and priorExposure are shape and rate of the prior of the old version's rate; the shape is that of
	// Jeffreys, and one request makes the prior proper.
	priorShape    = 0.5
	priorExposure = 1.0
	// brokenPrior is the probability, before any evidence, that a new version fails at a rate of its own.
	brokenPrior = 0.01
	// gridSteps and gridRange lay out the logarithms of the ratios that are summed over.
	gridSteps = 121
	gridRange = 6.0
)

// harm returns the probability that the new version is harmful, given the counts. Either its rate of failures is a
// multiple of the old one's, or it is broken and fails at a rate of its own; see ratioModel and brokenModel.
func harm(e Evidence, l Limits) float64 {
	ratio, badRatio := ratioModel(e, l)
	own, badOwn := brokenModel(e, l)
	top := max(ratio, own)
	likely := (1 - brokenPrior) * math.Exp(ratio-top)
	broken := brokenPrior * math.Exp(own-top)
	return (likely*badRatio + broken*badOwn) / (likely + broken)
}

// ratioModel returns the logarithm of the likelihood of the counts, and the probability of harm, when the new version
// fails at a multiple of the old version's rate. Factors that both models share are left out of the likelihood.
//
// Failures are taken as Poisson counts with rates λ and ρλ for each request. The rate λ has a Jeffreys prior and is
// integrated in closed form; what is left is a sum over the ratio ρ. A change of λ that both versions share, such as a
// spike of load, cancels out of the likelihood of ρ as long as the weights stay the same; so each step has a λ of its
// own, and the steps of a rollout share ρ.
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
		bad += w * above(e, l, math.Exp(gridAt(i)))
	}
	step := gridAt(1) - gridAt(0)
	return top + math.Log(all*step), bad / all
}

// brokenModel is ratioModel for a version that fails at a rate of its own, which may be any with equal probability. Without
// it a few requests that all fail would rather be taken for bad luck, when an old version that hardly ever fails makes a
// high multiple improbable.
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

// logLikelihood of the ratio, with λ integrated out.
func logLikelihood(e StepCounts, ratio float64) float64 {
	shape := float64(e.Old.Failures+e.New.Failures) + priorShape
	return logGamma(shape) + float64(e.New.Failures)*math.Log(ratio) - shape*math.Log(exposure(e, ratio))
}

// above returns the probability, for a given ratio, that the new version is harmful at the rates of the current step.
func above(e Evidence, l Limits, ratio float64) float64 {
	if ratio <= l.MaxBurnRatio {
		return 0
	}
	shape := float64(e.Old.Failures+e.New.Failures) + priorShape
	return mathext.GammaIncRegComp(shape, l.budget()/ratio*exposure(e.counts(), ratio))
}

func exposure(e StepCounts, ratio float64) float64 {
	return priorExposure + float64(e.Old.Requests) + ratio*float64(e.New.Requests)
}
