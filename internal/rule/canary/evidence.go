package canary

import "time"

const (
	// slowFactor is the multiple of the mean response time above which an answer is poor.
	slowFactor = 3
	// minBaselineAnswers is the minimum number of answers for the mean response time to be used.
	minBaselineAnswers = 5
	// baselineWindow is the approximate number of latest answers of a route that the averages
	// cover.
	baselineWindow = 100
	// priorPoor and priorAnswers are the prior of the share of poor answers on a route: half an
	// answer in ten.
	priorPoor    = 0.5
	priorAnswers = 10
)

// Baseline is the reference for canaries on one route: the share of poor answers and the mean
// response time of the current version, as measured by one router. Baselines are kept per route
// because some routes fail often with any version.
type Baseline struct {
	answers, poor float64
	// latency is the mean response time of successful answers.
	latency time.Duration
}

// Poor reports whether an answer is poor: it failed, or it was slow relative to the mean of the
// route.
func (b *Baseline) Poor(ok bool, latency time.Duration) bool {
	return !ok || b.answers >= minBaselineAnswers && latency > slowFactor*b.latency
}

// Record adds an answer of the current version to the baseline.
func (b *Baseline) Record(ok bool, latency time.Duration) {
	const decay = 1 - 1.0/baselineWindow
	poor := b.Poor(ok, latency)
	b.answers, b.poor = b.answers*decay+1, b.poor*decay
	if poor {
		b.poor++
	}
	if ok {
		b.latency += time.Duration(float64(latency-b.latency) / b.answers)
	}
}

// PoorRatio returns the estimated share of poor answers.
func (b *Baseline) PoorRatio() float64 { return (b.poor + priorPoor) / (b.answers + priorAnswers) }

// Evidence counts the answers of a canary.
type Evidence struct {
	Answers int
	Poor    int
	// Expected is the number of poor answers that the current version would have given to the same
	// requests.
	Expected float64
}

// Add adds an answer of the canary, given the baseline of the request's route.
func (e *Evidence) Add(baseline *Baseline, ok bool, latency time.Duration) {
	e.Answers++
	e.Expected += baseline.PoorRatio()
	if baseline.Poor(ok, latency) {
		e.Poor++
	}
}

// Plus returns the sum of both.
func (e Evidence) Plus(other Evidence) Evidence {
	return Evidence{Answers: e.Answers + other.Answers, Poor: e.Poor + other.Poor, Expected: e.Expected + other.Expected}
}

const (
	// maxExcessPoor is the number of poor answers beyond maxPoorRatio times the expected number
	// above which a canary is bad. With these limits very few correct versions are reverted,
	// although each is judged after every answer, and a bad one is reverted long before its
	// fiftieth poor answer.
	maxExcessPoor = 4
	maxPoorRatio  = 2
	// minAnswers is the number of answers after which a canary can be promoted.
	minAnswers = 20
)

// Bad reports whether the rollout must be reverted.
func (e Evidence) Bad() bool { return float64(e.Poor) > maxPoorRatio*e.Expected+maxExcessPoor }

// Sound reports whether the canary may be promoted.
func (e Evidence) Sound() bool { return e.Answers >= minAnswers && !e.Bad() }

// Report is one router's evidence on one rollout, as exchanged between routers.
type Report struct {
	// Number identifies the order of the rollout.
	Number uint64
	// Source identifies the router's process.
	Source uint64
	Evidence
}
