// Package origin keeps at which version of its service each stream began.
//
// What two versions of a service write does not fit together, so a stream goes on only at the version
// that began it, also if its caller resumes it at another router. The router that forwards the first
// event records the origin. While the service has several versions it also sends the origin to its
// keepers, a few routers in different availability zones that any router determines from the key of the
// stream. Origins are soft state that expires: if an origin is lost and the service has had several
// versions, the stream cannot be resumed.
package origin
