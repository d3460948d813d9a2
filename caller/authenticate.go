package caller

import (
	"strings"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
)

const bearerPrefix = "Bearer "

// authenticate returns the contract that the request's API key belongs to.
func authenticate(ex *exchange) (*config.Contract, error) {
	header := ex.request.Header.Get("Authorization")
	if len(header) <= len(bearerPrefix) || !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return nil, mp.NewError(mp.KindUnauthorized, "the request has no key; send the header \"Authorization: Bearer KEY\"")
	}
	contract, ok := ex.snapshot.ContractByAPIKey(strings.TrimSpace(header[len(bearerPrefix):]))
	if !ok {
		return nil, mp.NewError(mp.KindUnauthorized, "the key belongs to no organisation")
	}
	return contract, nil
}

// requestedClass returns the class named in the request's header, or the
// default class of the contract.
func requestedClass(ex *exchange, contract *config.Contract) (*config.Class, error) {
	name := mp.ClassName(ex.request.Header.Get(mp.HeaderClass))
	if name == "" {
		name = contract.DefaultClass
	}
	class, ok := contract.Class(name)
	if !ok {
		return nil, mp.NewError(mp.KindClassNotAllowed, "class %q is not in the contract of organisation %q", name, contract.Organisation)
	}
	return class, nil
}

// allowsModel reports whether any class of the contract may use the model.
func allowsModel(contract *config.Contract, model mp.ModelID) bool {
	for ix := range contract.Classes {
		if contract.Classes[ix].AllowsModel(model) {
			return true
		}
	}
	return false
}

func modelNotFound(id mp.ModelID) error {
	return mp.NewError(mp.KindModelNotFound, "model %q does not exist", id)
}
