// Command stage runs the scripts of the second independent review. It starts the routers of the deploy file as
// processes, beside stand-ins of the platform's store, of replicas and of requesters, and checks one rule. It
// writes what was sent, answered and run to a record, and exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case couldn't run.
package main
