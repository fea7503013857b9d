// Package claim ensures that requests which must not be repeated run at most once.
//
// Before the first byte of such a request is sent to a target, a claim on its key is written to the
// platform's table service, conditional on the key being unclaimed. A claim whose request may have
// been sent is never taken over, because a paused holder can resume and send at any time. Only the
// holder itself releases a claim, and only if it has certainly sent nothing.
//
// The version of the claim row grows with each claim. Combined with the store's era it serves as
// the fencing token. A store restored from an older snapshot may lack claims: each router rewrites
// those that it wrote recently, and no router makes new claims until all have had time to do so.
// Claims made between the snapshot and the rollback are lost if the process of their router has
// exited.
package claim
