// Package conf reads a router's settings from an INI file and checks every one of
// them at start. The list of options in options.go is also what the settings page
// of the documentation is made from.
package conf
