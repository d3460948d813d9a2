// Package config holds every configuration structure: the fleet, the contracts
// of the organisations, and a host's settings. It decodes them strictly, fills
// the defaults in one pass and reports every fault with its file and JSON path.
package config
