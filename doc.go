// Package mangopaddle defines the types that all packages of the router share:
// identifiers and units, the closed set of error kinds with the response to each,
// and the interfaces behind which implementations vary.
//
// Requests arrive at an entry host, of which there are two kinds. Package host
// assembles the one for the router's own API: completions by model engines, and calls
// of plain services. Package gateway implements the other, a reverse proxy for routes
// that the operator configures. Both read their configuration, and which backend
// servers are live, from the store of the surrounding platform. A backend server is an
// engine or a replica of a plain service.
//
// In the router's own API, the API key of a request identifies an organisation. The
// organisation's contract has classes, and each request runs in one of them. A class
// has a tier, latency targets, a promised rate and limits. The contracts and the fleet
// (the models, engines and plain services) are published in the platform's store as one
// configuration set.
package mangopaddle
