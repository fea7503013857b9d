// Package sched runs tests with random schedules: the same few in CI, and as many as the
// environment variable SCHEDULES states if it is set.
package sched
