// Package mangopaddle defines what every part of the router shares: named
// identifiers and units, the closed list of error kinds with the answer that
// each kind gives, and the interfaces behind which behaviour varies.
package mangopaddle
