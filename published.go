package mangopaddle

import "encoding/json"

// PublishedValue is a value of the published configuration set (the fleet or a
// contract) with the position of its last change.
type PublishedValue struct {
	Key      ConfigKey       `json:"key"`
	Position Position        `json:"position"`
	Value    json.RawMessage `json:"value"`
}

// MachineState is the state of a host or a backend server in the list of machines.
type MachineState string

// The states of a machine. A draining one gets no new requests.
const (
	MachineLive     MachineState = "live"
	MachineDraining MachineState = "leaving"
)

// ListedHost is an entry host in the list of machines.
type ListedHost struct {
	Name       HostID       `json:"name"`
	Address    string       `json:"address"`
	DataCentre DataCentreID `json:"data_centre"`
	State      MachineState `json:"state"`
}

// ListedServer is a backend server in the list of machines: an engine or a replica
// of a plain service, by its name in the fleet.
type ListedServer struct {
	Name  string       `json:"name"`
	State MachineState `json:"state"`
}

// MachineList is the platform's list of live and draining machines. It lags behind
// the actual state.
type MachineList struct {
	Hosts   []ListedHost   `json:"hosts"`
	Servers []ListedServer `json:"servers"`
}
