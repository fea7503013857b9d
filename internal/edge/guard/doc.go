// Package guard quarantines requests under which targets crash, so that they reach no further
// targets.
//
// A request may crash each target that starts to run it. Callers retry it, and each retry would
// crash another target, together with all other requests that run there, whichever router receives
// it. The cause may also be a part of the prompt, in requests that are all different.
package guard
