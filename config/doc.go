// Package config defines the configuration of the router's own API: the fleet, the
// contracts of the organisations and the settings of a host. It decodes fleets and
// contracts strictly, applies defaults and reports every fault with its configuration
// key and a JSON pointer. The gateway has a configuration of its own (packages routing
// and platform) and settings of its own (package gateway).
package config
