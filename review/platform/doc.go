// Package platform runs routers as separate processes against small stand-ins of the platform's store,
// of replicas and of requesters, for the scripts of the review. Everything listens on loopback
// addresses.
package platform
