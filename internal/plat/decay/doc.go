// Package decay lets what was counted earlier count less.
package decay
