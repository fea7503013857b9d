// Package sched walks tests through random schedules: the same few in CI, many
// with SCHEDULES set in the environment.
package sched
