package mangopaddle

import "encoding/json"

// PublishedValue is one published value with the revision that changed it.
type PublishedValue struct {
	Key      ConfigKey       `json:"key"`
	Revision Revision        `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// ServerState says whether a listed machine is live or leaving.
type ServerState string

// The states in the list of machines.
const (
	ServerLive    ServerState = "live"
	ServerLeaving ServerState = "leaving"
)

// ListedHost is an entry host in the list of machines.
type ListedHost struct {
	Name       HostID       `json:"name"`
	Address    string       `json:"address"`
	DataCentre DataCentreID `json:"data_centre"`
	State      ServerState  `json:"state"`
}

// ListedServer is a backend server in the list of machines: an engine or a replica
// of a service, by its name in the fleet.
type ListedServer struct {
	Name  string      `json:"name"`
	State ServerState `json:"state"`
}

// MachineList is the list of live and leaving machines. It lags.
type MachineList struct {
	Hosts   []ListedHost   `json:"hosts"`
	Servers []ListedServer `json:"servers"`
}
