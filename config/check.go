package config

import (
	"fmt"
	"net/netip"
	"strconv"

	mp "github.com/mangopaddle/mangopaddle"
)

// checker collects the faults of a set.
type checker struct {
	set    *Set
	faults Faults
	key    mp.ConfigKey // of the value that is being checked

	dataCentres map[mp.DataCentreID]bool
	models      map[mp.ModelID]bool
	services    map[mp.ServiceName]bool
}

// check returns the faults that the schemas do not find: duplicate names, unknown
// references, invalid addresses and inconsistent values.
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
		checkUnique(ch, regions, re.Name, itemPath("regions", ix, "name"))
		for jx, dc := range re.DataCentres {
			checkUnique(ch, ch.dataCentres, dc, itemPath("regions", ix, "data_centres")+"/"+strconv.Itoa(jx))
		}
	}
	for ix, mo := range fl.Models {
		checkUnique(ch, ch.models, mo.Name, itemPath("models", ix, "name"))
	}
	engines := map[mp.EngineID]bool{}
	for ix, or := range ch.set.origins {
		ch.key = or.key
		checkUnique(ch, engines, fl.Engines[ix].Name, itemPath("engines", or.index, "name"))
		ch.checkEngine(or.index, &fl.Engines[ix])
	}
	ch.key = FleetKey
	for ix := range fl.Services {
		checkUnique(ch, ch.services, fl.Services[ix].Name, itemPath("services", ix, "name"))
		ch.checkReplicas(ix, &fl.Services[ix])
	}
}

func (ch *checker) checkEngine(ix int, en *Engine) {
	ch.checkAddress(itemPath("engines", ix, "address"), en.Address)
	checkExists(ch, ch.dataCentres, en.DataCentre, "data centre", itemPath("engines", ix, "data_centre"))
	for jx, model := range en.Models {
		checkExists(ch, ch.models, model, "model", itemPath("engines", ix, "models")+"/"+strconv.Itoa(jx))
	}
}

func (ch *checker) checkReplicas(ix int, se *Service) {
	replicas := map[mp.ReplicaID]bool{}
	for jx, re := range se.Replicas {
		path := itemPath("services", ix, "replicas") + "/" + strconv.Itoa(jx)
		checkUnique(ch, replicas, re.Name, path+"/name")
		ch.checkAddress(path+"/address", re.Address)
		checkExists(ch, ch.dataCentres, re.DataCentre, "data centre", path+"/data_centre")
	}
}

// checkAddress reports an address that is not an IP address with a port.
func (ch *checker) checkAddress(path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		ch.add(path, "%q is not an IP address with a port (want for example \"127.0.0.1:8000\")", address)
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

// checkKeys reports keys that are used twice, and warns of a contract without keys. holders
// maps key hashes to the organisations of all contracts checked so far.
func (ch *checker) checkKeys(co *Contract, holders map[string]mp.OrganisationID) {
	if len(co.Keys) == 0 {
		ch.warn("/keys", "organisation %q has no key, so nobody can use its contract", co.Organisation)
	}
	for ix, key := range co.Keys {
		holder, taken := holders[key.SHA256]
		if taken {
			ch.add(itemPath("keys", ix, "sha256"), "is already a key of organisation %q", holder)
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
		checkUnique(ch, names, cl.Name, itemPath("classes", ix, "name"))
		for jx, model := range cl.Models {
			if model != AnyModel {
				checkExists(ch, ch.models, model, "model", itemPath("classes", ix, "models")+"/"+strconv.Itoa(jx))
			}
		}
		for jx, service := range cl.Services {
			checkExists(ch, ch.services, service, "service", itemPath("classes", ix, "services")+"/"+strconv.Itoa(jx))
		}
		ch.checkShareAndAccess(ix, cl)
	}
}

// checkShareAndAccess reports a rate limit below the promised rate, and a class that
// may use no model and no service.
func (ch *checker) checkShareAndAccess(ix int, cl *Class) {
	sh := cl.Share
	if sh.MaxTokensPerSecond > 0 && sh.MaxTokensPerSecond < sh.PromisedTokensPerSecond {
		ch.add(itemPath("classes", ix, "share"), "most_tokens_per_second %g is below promised_tokens_per_second %g", sh.MaxTokensPerSecond, sh.PromisedTokensPerSecond)
	}
	if len(cl.Models) == 0 && len(cl.Services) == 0 {
		ch.add(itemPath("classes", ix, ""), "class %q may use no model and no service", cl.Name)
	}
}

// checkCapacity warns if the promised token rates of a model exceed the rated output
// of its live engines. A promise counts in full for each model of its class, because the
// class may spend all of it on one model.
func (ch *checker) checkCapacity() {
	ch.key = FleetKey
	for ix, mo := range ch.set.Fleet.Models {
		capacity := ch.capacityOf(mo.Name)
		promised := ch.promisedOf(mo.Name)
		if promised > capacity {
			ch.warn(itemPath("models", ix, ""), "contracts promise up to %g tokens/s of model %q but its engines are rated at %g", promised, mo.Name, capacity)
		}
	}
}

// capacityOf returns the rated output of the live engines of a model.
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

// promisedOf returns the sum of the promises of all classes that may use a model.
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

func checkUnique[T ~string](ch *checker, seen map[T]bool, name T, path string) {
	if seen[name] {
		ch.add(path, "%q is used more than once; names must be unique", string(name))
	}
	seen[name] = true
}

func checkExists[T ~string](ch *checker, names map[T]bool, name T, what, path string) {
	if !names[name] {
		ch.add(path, "%s %q does not exist in the fleet", what, string(name))
	}
}

// itemPath returns the JSON pointer to a field of a list item, or to the item itself
// if the field is empty.
func itemPath(list string, index int, field string) string {
	path := "/" + list + "/" + strconv.Itoa(index)
	if field != "" {
		path += "/" + field
	}
	return path
}

func quote[T ~string](name T) string {
	return strconv.Quote(string(name))
}
