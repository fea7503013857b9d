// Package conf reads the settings of a router from an INI file and validates all of them
// at startup. The settings page of the documentation is generated from the list of options
// in options.go.
package conf
