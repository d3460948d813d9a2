package config

import (
	"fmt"
	"net/netip"
	"strconv"

	mp "github.com/mangopaddle/mangopaddle"
)

// checker collects the faults of one set.
type checker struct {
	set    *Set
	faults Faults
	key    mp.ConfigKey

	dataCentres map[mp.DataCentreID]bool
	models      map[mp.ModelID]bool
	services    map[mp.ServiceName]bool
}

// check returns what is wrong between the values of a set.
func check(set *Set) Faults {
	ch := &checker{
		set:         set,
		dataCentres: map[mp.DataCentreID]bool{},
		models:      map[mp.ModelID]bool{},
		services:    map[mp.ServiceName]bool{},
	}
	ch.checkFleet()
	ch.checkContracts()
	ch.checkCapacity()
	return ch.faults
}

func (ch *checker) add(path, format string, args ...any) {
	ch.faults = append(ch.faults, Fault{Key: ch.key, Path: path, Problem: fmt.Sprintf(format, args...)})
}

func (ch *checker) warn(path, format string, args ...any) {
	ch.add(path, format, args...)
	ch.faults[len(ch.faults)-1].Warning = true
}

func (ch *checker) checkFleet() {
	ch.key = FleetKey
	fl := &ch.set.Fleet
	regions := map[mp.RegionID]bool{}
	for ix, re := range fl.Regions {
		unique(ch, regions, re.Name, at("regions", ix, "name"))
		for jx, dc := range re.DataCentres {
			unique(ch, ch.dataCentres, dc, at("regions", ix, "data_centres")+"/"+strconv.Itoa(jx))
		}
	}
	for ix, mo := range fl.Models {
		unique(ch, ch.models, mo.Name, at("models", ix, "name"))
	}
	engines := map[mp.EngineID]bool{}
	for ix, or := range ch.set.origins {
		ch.key = or.key
		unique(ch, engines, fl.Engines[ix].Name, at("engines", or.index, "name"))
		ch.checkEngine(or.index, &fl.Engines[ix])
	}
	ch.key = FleetKey
	for ix := range fl.Services {
		unique(ch, ch.services, fl.Services[ix].Name, at("services", ix, "name"))
		ch.checkReplicas(ix, &fl.Services[ix])
	}
}

func (ch *checker) checkEngine(ix int, en *Engine) {
	ch.checkAddress(at("engines", ix, "address"), en.Address)
	known(ch, ch.dataCentres, en.DataCentre, "data centre", at("engines", ix, "data_centre"))
	for jx, model := range en.Models {
		known(ch, ch.models, model, "model", at("engines", ix, "models")+"/"+strconv.Itoa(jx))
	}
}

func (ch *checker) checkReplicas(ix int, se *Service) {
	replicas := map[mp.ReplicaID]bool{}
	for jx, re := range se.Replicas {
		path := at("services", ix, "replicas") + "/" + strconv.Itoa(jx)
		unique(ch, replicas, re.Name, path+"/name")
		ch.checkAddress(path+"/address", re.Address)
		known(ch, ch.dataCentres, re.DataCentre, "data centre", path+"/data_centre")
	}
}

func (ch *checker) checkAddress(path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		ch.add(path, "%q is not an IP number with a port (want for example \"127.0.0.1:8000\")", address)
	}
}

func (ch *checker) checkContracts() {
	holders := map[string]mp.OrganisationID{}
	for _, co := range ch.set.Contracts {
		ch.key = ContractKey(co.Organisation)
		ch.checkKeys(co, holders)
		ch.checkClasses(co)
	}
}

func (ch *checker) checkKeys(co *Contract, holders map[string]mp.OrganisationID) {
	for ix, key := range co.Keys {
		holder, taken := holders[key.SHA256]
		if taken {
			ch.add(at("keys", ix, "sha256"), "is already a key of organisation %q", holder)
		}
		holders[key.SHA256] = co.Organisation
	}
}

func (ch *checker) checkClasses(co *Contract) {
	if _, ok := co.Class(co.DefaultClass); !ok {
		ch.add("/default_class", "%q is not a class of this contract", co.DefaultClass)
	}
	names := map[mp.ClassName]bool{}
	for ix := range co.Classes {
		cl := &co.Classes[ix]
		unique(ch, names, cl.Name, at("classes", ix, "name"))
		for jx, model := range cl.Models {
			if model != AnyModel {
				known(ch, ch.models, model, "model", at("classes", ix, "models")+"/"+strconv.Itoa(jx))
			}
		}
		for jx, service := range cl.Services {
			known(ch, ch.services, service, "service", at("classes", ix, "services")+"/"+strconv.Itoa(jx))
		}
		ch.checkShare(ix, cl)
	}
}

func (ch *checker) checkShare(ix int, cl *Class) {
	sh := cl.Share
	if sh.MaxTokensPerSecond > 0 && sh.MaxTokensPerSecond < sh.PromisedTokensPerSecond {
		ch.add(at("classes", ix, "share"), "most_tokens_per_second %g is below promised_tokens_per_second %g", sh.MaxTokensPerSecond, sh.PromisedTokensPerSecond)
	}
	if len(cl.Models) == 0 && len(cl.Services) == 0 {
		ch.add(at("classes", ix, ""), "class %q may use no model and no service", cl.Name)
	}
}

// checkCapacity warns where the promises exceed the rated output of the
// engines. A promise counts in full against each model that its class may ask
// for, because the class may spend all of it there.
func (ch *checker) checkCapacity() {
	ch.key = FleetKey
	for ix, mo := range ch.set.Fleet.Models {
		capacity := ch.capacityOf(mo.Name)
		promised := ch.promisedOf(mo.Name)
		if promised > capacity {
			ch.warn(at("models", ix, ""), "contracts promise up to %g tokens/s of model %q but its engines are rated at %g", promised, mo.Name, capacity)
		}
	}
}

func (ch *checker) capacityOf(model mp.ModelID) mp.TokensPerSecond {
	var total mp.TokensPerSecond
	for _, en := range ch.set.Fleet.Engines {
		for _, name := range en.Models {
			if name == model && en.State == StateLive {
				total += en.TokensPerSecond
			}
		}
	}
	return total
}

func (ch *checker) promisedOf(model mp.ModelID) mp.TokensPerSecond {
	var total mp.TokensPerSecond
	for _, co := range ch.set.Contracts {
		for ix := range co.Classes {
			if co.Classes[ix].AllowsModel(model) {
				total += co.Classes[ix].Share.PromisedTokensPerSecond
			}
		}
	}
	return total
}

func unique[T ~string](ch *checker, seen map[T]bool, name T, path string) {
	if seen[name] {
		ch.add(path, "%q stands twice; names are unique", string(name))
	}
	seen[name] = true
}

func known[T ~string](ch *checker, names map[T]bool, name T, what, path string) {
	if !names[name] {
		ch.add(path, "%s %q does not exist in the fleet", what, string(name))
	}
}

// at returns the JSON pointer of a field of a list's item.
func at(list string, index int, field string) string {
	path := "/" + list + "/" + strconv.Itoa(index)
	if field != "" {
		path += "/" + field
	}
	return path
}

func quote[T ~string](name T) string {
	return strconv.Quote(string(name))
}
