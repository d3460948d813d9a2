package mangopaddle

import "encoding/json"

// Change is one key of a published configuration set that changed.
type Change struct {
	Key      ConfigKey `json:"key"`
	Revision Revision  `json:"revision"`
	Deleted  bool      `json:"deleted,omitempty"`
}

// Changes is the platform's answer to a watch: what changed behind a revision.
type Changes struct {
	Revision Revision `json:"revision"`
	Changes  []Change `json:"changes"`
}

// Value is one published value with the revision that wrote it.
type Value struct {
	Key      ConfigKey       `json:"key"`
	Revision Revision        `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// ServerState says whether a listed machine is live or leaving.
type ServerState string

// The states in the platform's list.
const (
	ServerLive    ServerState = "live"
	ServerLeaving ServerState = "leaving"
)

// ListedHost is an entry host in the platform's list.
type ListedHost struct {
	Name       HostID       `json:"name"`
	Address    string       `json:"address"`
	DataCentre DataCentreID `json:"data_centre"`
	State      ServerState  `json:"state"`
}

// ListedServer is a backend server in the platform's list: an engine or a
// replica of a service, by its name in the fleet.
type ListedServer struct {
	Name  string      `json:"name"`
	State ServerState `json:"state"`
}

// HostList is the platform's list of live and leaving machines. It lags.
type HostList struct {
	Hosts   []ListedHost   `json:"hosts"`
	Servers []ListedServer `json:"servers"`
}
