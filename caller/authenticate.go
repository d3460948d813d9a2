package caller

import (
	"strings"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
)

const bearer = "Bearer "

// authenticate returns the contract of the request's bearer key.
func authenticate(ex *exchange) (*config.Contract, error) {
	header := ex.request.Header.Get("Authorization")
	if len(header) <= len(bearer) || !strings.EqualFold(header[:len(bearer)], bearer) {
		return nil, mp.NewError(mp.KindUnauthorized, "the request has no key; send the header \"Authorization: Bearer KEY\"")
	}
	contract, ok := ex.snapshot.ContractByKey(strings.TrimSpace(header[len(bearer):]))
	if !ok {
		return nil, mp.NewError(mp.KindUnauthorized, "the key belongs to no organisation")
	}
	return contract, nil
}

// classOf returns the class that the request names, or the contract's default.
func classOf(ex *exchange, contract *config.Contract) (*config.Class, error) {
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
