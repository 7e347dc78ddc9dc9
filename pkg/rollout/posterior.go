package rollout

import (
	"math"

	"gonum.org/v1/gonum/mathext"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// priorSigma is the standard deviation of the logarithm of the ratio of both rates before any evidence: most new
	// versions fail about as often as the old one, few fail three times as often.

	priorSigma = 1.0
	// priorShape is the shape of the prior of the old version's rate (Jeffreys).
	priorShape = 0.5
	// gridSteps and gridRange lay out the logarithms of the ratios that are summed over.
	gridSteps = 121
	gridRange = 6.0
)

// harm returns the probability that the new version is harmful, given the counts.
//
// Failures are taken as Poisson counts with rates λ and ρλ for each request. The rate λ has a Jeffreys prior and is
// integrated in closed form; what is left is a sum over the ratio ρ. A change of λ that both versions share, such as a
// spike of load, cancels out of the likelihood of ρ as long as the weights stay the same; so each step has a λ of its
// own, and the steps of a rollout share ρ.
func harm(e Evidence, l Limits) float64 {
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
	return bad / all
}

func gridAt(i int) float64 { return -gridRange + 2*gridRange*float64(i)/(gridSteps-1) }

// logLikelihood of the ratio, with λ integrated out.
func logLikelihood(e StepCounts, ratio float64) float64 {
	shape := float64(e.Old.Failures+e.New.Failures) + priorShape
	exposure := float64(e.Old.Requests) + ratio*float64(e.New.Requests)
	if exposure == 0 {
		return 0
	}
	return float64(e.New.Failures)*math.Log(ratio) - shape*math.Log(exposure)
}

// above returns the probability, for a given ratio, that the new version is harmful at the rates of the current step.
func above(e Evidence, l Limits, ratio float64) float64 {
	if ratio <= l.MaxBurnRatio {
		return 0
	}
	shape := float64(e.Old.Failures+e.New.Failures) + priorShape
	exposure := float64(e.Old.Requests) + ratio*float64(e.New.Requests)
	if exposure == 0 {
		return 1
	}
	return mathext.GammaIncRegComp(shape, l.budget()/ratio*exposure)
}
