// Package head checks the heads of answers for what net/http accepts although it is none in the protocol: a status below 100, and
// field names that are no tokens. A blank before the colon hides a field from all who look for it by name, so that a length or
// chunks would be taken for a part of the body.
package head
