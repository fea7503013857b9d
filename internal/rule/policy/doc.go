// Package policy parses the documents that operators write and compiles them into a set that
// routers evaluate. A document describes a service, a workspace or a policy and is one section
// of an INI file.
//
// The settings of a policy are short CEL programs, which are type-checked and limited in cost
// before they are recorded. If one still fails at run time, the strictest value is used: the
// request is never repeated, has the lowest priority and does not wait.
package policy
