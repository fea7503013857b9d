package main

// maxFallsBase and maxFallsRatio limit how many brittle targets of a service may fall over in one time in
// which they are brittle: a number, and a part of the targets.
const (
	maxFallsBase  = 2
	maxFallsRatio = 0.1
)

// startBrittleness starts counting the falls of a service's brittle targets.
func (l *ledger) startBrittleness(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.falls[service] = 0
}

// recordFall records that a brittle target of a service fell over.
func (l *ledger) recordFall(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.falls[service]++
	if count := l.falls[service]; float64(count) > maxFallsBase+maxFallsRatio*float64(l.targets) {
		l.addViolationLocked("%d brittle targets of service %s fell over", count, service)
	}
}
