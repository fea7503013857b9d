// Package config records configuration changes, distributes them and holds the configuration in
// force on this router.
//
// A change is one transaction in the platform's table service. It writes the documents, the head
// revision, the change itself and its audit rows, conditional on the head and the documents being
// unchanged since the operator read them. Routers receive new heads from each other and by polling
// the store, fetch the missing changes from each other or from the store, and install them in
// order. A router never installs a revision lower than the one it has, whatever the store returns.
// Changes that are lost because the store was restored from an older snapshot are rewritten by
// routers that have them in force.
package config
