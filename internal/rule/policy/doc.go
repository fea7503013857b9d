// Package policy holds the documents that operators write: services, workspaces
// and policies, each one section of an INI file, and compiles them into a set
// that routers evaluate.
//
// A policy's settings are short CEL programs, type-checked and bounded in cost
// before they are recorded. Should one still fail at run time, the strictest
// value is used: never repeat, lowest priority, do not wait.
package policy
