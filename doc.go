// Package mangopaddle defines the types that all packages of the router share:
// identifiers and units, the closed set of error kinds with the response to each,
// and the interfaces behind which implementations vary.
package mangopaddle
