// Package sock reports what the kernel knows of a TCP connection. On systems that do not report it, nothing is known.
package sock
