package origin

import "valescale/internal/plat/fault"

// Kind is the kind of an error of this package.
type Kind string

// BadRow means that a row of the store cannot be decoded.
const BadRow Kind = "bad_row"

// Error is an error of this package.
type Error = fault.Error[Kind]
