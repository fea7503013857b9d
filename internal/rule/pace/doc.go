// Package pace estimates how long work takes at each target at present, compared with other targets.
//
// A target's pace comes from two sources: the figure that the target itself reports in its answers,
// and the time that finished requests took compared with what requests of their size usually take at
// that figure. A reported figure applies for a fraction of a second; beyond that the better ones of the
// recent figures apply, corrected if finished requests contradict them. Edge routers measure with a Meter and
// send Reports to the homes, which keep a Gauge for each target.
//
// The package performs no I/O and takes the current time as an argument.
package pace
