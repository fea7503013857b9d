package canary

import "time"

const (
	// slowFactor is how many times as long as usual an answer takes that counts as poor.
	slowFactor = 3
	// usualAfter is how many answers tell what is usual.
	usualAfter = 5
	// remembered is about how many answers of a route count in what is usual.
	remembered = 100
	// priorPoor of priorAnswers are taken for poor before anything is known of a route.
	priorPoor    = 0.5
	priorAnswers = 10
)

// Norm is how the version in service answers on one route, as one router sees it. Some routes fail often, whatever
// the version.
type Norm struct {
	answers, poor float64
	took          time.Duration
}

// Poor reports whether an answer is poor by the measure of the route.
func (n *Norm) Poor(ok bool, took time.Duration) bool {
	return !ok || n.answers >= usualAfter && took > slowFactor*n.took
}

// Note takes in an answer of the version in service.
func (n *Norm) Note(ok bool, took time.Duration) {
	const kept = 1 - 1.0/remembered
	poor := n.Poor(ok, took)
	n.answers, n.poor = n.answers*kept+1, n.poor*kept
	if poor {
		n.poor++
	}
	if ok {
		n.took += time.Duration(float64(took-n.took) / n.answers)
	}
}

// Share is the share of answers that are poor.
func (n *Norm) Share() float64 { return (n.poor + priorPoor) / (n.answers + priorAnswers) }

// Evidence is what routers have seen of a version on trial.
type Evidence struct {
	Answers int
	Poor    int
	// Expected is how many of the answers the version in service would have made poor.
	Expected float64
}

// Add takes in an answer of the version on trial to a request of a route.
func (e *Evidence) Add(norm *Norm, ok bool, took time.Duration) {
	e.Answers++
	e.Expected += norm.Share()
	if norm.Poor(ok, took) {
		e.Poor++
	}
}

// Plus is the evidence of two taken together.
func (e Evidence) Plus(other Evidence) Evidence {
	return Evidence{Answers: e.Answers + other.Answers, Poor: e.Poor + other.Poor, Expected: e.Expected + other.Expected}
}

const (
	// leastPoor poor answers beyond twice what was to be expected show that a version is bad. Of sound versions that are
	// looked at after each answer very few are reverted; a bad one's fiftieth poor answer is far off.
	leastPoor    = 4
	expectFactor = 2
	// leastAnswers is of how many answers a version must prove sound.
	leastAnswers = 20
)

// Bad reports whether the version is to be given up.
func (e Evidence) Bad() bool { return float64(e.Poor) > expectFactor*e.Expected+leastPoor }

// Sound reports whether the version may take over.
func (e Evidence) Sound() bool { return e.Answers >= leastAnswers && !e.Bad() }

// Report is one router's evidence on one order, as routers tell each other.
type Report struct {
	Number uint64
	// Source is the router's process.
	Source uint64
	Evidence
}
