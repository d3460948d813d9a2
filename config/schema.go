package config

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"

	"github.com/invopop/jsonschema"
	"github.com/juju/errors"
	validator "github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	mp "github.com/mangopaddle/mangopaddle"
)

// SchemaName names one of the published JSON schemas.
type SchemaName string

// The published JSON schemas.
const (
	SchemaFleet    SchemaName = "fleet"
	SchemaContract SchemaName = "contract"
	SchemaEngines  SchemaName = "engines"
)

// durationPattern matches the format of mp.Duration.
const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+$`

// Schema returns the JSON schema with a name. It fails with a not-found error if the
// name is unknown.
func Schema(name SchemaName) ([]byte, error) {
	var value any
	switch name {
	case SchemaFleet:
		value = &Fleet{}
	case SchemaContract:
		value = &Contract{}
	case SchemaEngines:
		value = &EngineList{}
	default:
		return nil, errors.NotFoundf("schema %q (want %q, %q or %q)", name, SchemaFleet, SchemaContract, SchemaEngines)
	}
	reflector := jsonschema.Reflector{Mapper: mapType, DoNotReference: true, Anonymous: true}
	return json.MarshalIndent(reflector.Reflect(value), "", "  ")
}

// mapType returns the schema of types with a custom JSON encoding, and nil for others.
func mapType(ty reflect.Type) *jsonschema.Schema {
	if ty == reflect.TypeFor[mp.Duration]() {
		return &jsonschema.Schema{Type: "string", Pattern: durationPattern}
	}
	return nil
}

// schemas holds the compiled schemas and a printer for their error messages.
type schemas struct {
	fleet    *validator.Schema
	contract *validator.Schema
	engines  *validator.Schema
	printer  *message.Printer
}

func newSchemas() (*schemas, error) {
	fleet, err := compile(SchemaFleet)
	if err != nil {
		return nil, errors.Trace(err)
	}
	contract, err := compile(SchemaContract)
	if err != nil {
		return nil, errors.Trace(err)
	}
	engines, err := compile(SchemaEngines)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &schemas{fleet: fleet, contract: contract, engines: engines, printer: message.NewPrinter(language.English)}, nil
}

func compile(name SchemaName) (*validator.Schema, error) {
	text, err := Schema(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	document, err := validator.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, errors.Annotatef(err, "schema %q", name)
	}
	compiler := validator.NewCompiler()
	url := "mangopaddle:" + string(name)
	if err := compiler.AddResource(url, document); err != nil {
		return nil, errors.Annotatef(err, "schema %q", name)
	}
	compiled, err := compiler.Compile(url)
	return compiled, errors.Annotatef(err, "schema %q", name)
}

// faults returns all violations of the schema in a value.
func (sc *schemas) faults(schema *validator.Schema, key mp.ConfigKey, value []byte) Faults {
	document, err := validator.UnmarshalJSON(bytes.NewReader(value))
	if err != nil {
		return Faults{{Key: key, Problem: "is not valid JSON: " + err.Error()}}
	}
	err = schema.Validate(document)
	found, ok := errors.AsType[*validator.ValidationError](err)
	if !ok {
		return nil
	}
	return sc.leaves(key, found)
}

// leaves flattens the tree of a validation error: its leaves are the violations.
func (sc *schemas) leaves(key mp.ConfigKey, ve *validator.ValidationError) Faults {
	if len(ve.Causes) == 0 {
		path := ""
		if len(ve.InstanceLocation) > 0 {
			path = "/" + strings.Join(ve.InstanceLocation, "/")
		}
		return Faults{{Key: key, Path: path, Problem: ve.ErrorKind.LocalizedString(sc.printer)}}
	}
	var all Faults
	for _, cause := range ve.Causes {
		all = append(all, sc.leaves(key, cause)...)
	}
	return all
}
