package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"

	"github.com/rotisserie/eris"

	"github.com/knapweedrouter/knapweedrouter/internal/gateway"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
	"github.com/knapweedrouter/knapweedrouter/internal/settings"
	"github.com/knapweedrouter/knapweedrouter/internal/strictjson"
)

type checkConfigCommand struct {
	SkipFiles  bool `long:"skip-files" description:"do not read the files that the settings name"`
	Positional struct {
		File string `positional-arg-name:"FILE" required:"true" description:"settings or catalogue file"`
	} `positional-args:"true"`
	OutputOptions
}

// configReport is the result of check-config, which is also its JSON output.
type configReport struct {
	File   string            `json:"file"`
	Kind   string            `json:"kind"`
	Valid  bool              `json:"valid"`
	Faults strictjson.Faults `json:"faults"`
}

// Execute validates the file and prints every fault.
func (c *checkConfigCommand) Execute([]string) error {
	content, err := os.ReadFile(c.Positional.File)
	if err != nil {
		return eris.Wrap(err, "check-config")
	}
	kind, faults := checkDocument(content, !c.SkipFiles)
	report := configReport{File: c.Positional.File, Kind: kind, Valid: len(faults) == 0, Faults: faults}
	if c.isJSON() {
		if err := printJSON(report); err != nil {
			return err
		}
	} else {
		report.print()
	}
	if !report.Valid {
		return errReported
	}
	return nil
}

func (r configReport) print() {
	if r.Valid {
		fmt.Printf("%s: valid %s file\n", r.File, r.Kind)
		return
	}
	fmt.Printf("%s: %s file with faults (%d)\n", r.File, r.Kind, len(r.Faults))
	for _, fault := range r.Faults {
		fmt.Println(fault)
	}
}

const (
	kindSettings  = "settings"
	kindGateway   = "gateway settings"
	kindCatalogue = "catalogue"
	kindUnknown   = "unknown"
)

// checkDocument detects the kind of the document by its top-level field names, and returns the kind and the faults.
func checkDocument(content []byte, readFiles bool) (string, strictjson.Faults) {
	asSettings := strictjson.Overlap(content, reflect.TypeFor[settings.Settings]())
	asGateway := strictjson.Overlap(content, reflect.TypeFor[gateway.Settings]())
	asCatalogue := strictjson.Overlap(content, reflect.TypeFor[model.Catalogue]())
	switch {
	case asGateway > max(asSettings, asCatalogue):
		_, faults := gateway.DecodeSettings(content)
		return kindGateway, faults
	case asCatalogue > asSettings:
		return kindCatalogue, checkCatalogue(content)
	case asSettings > 0:
		return kindSettings, checkSettings(content, readFiles)
	default:
		return kindUnknown, unknownDocumentFaults(content)
	}
}

func checkSettings(content []byte, readFiles bool) strictjson.Faults {
	s, faults := settings.Decode(content)
	if readFiles {
		faults = append(faults, s.CheckFiles()...)
	}
	return faults
}

func checkCatalogue(content []byte) strictjson.Faults {
	var catalogue model.Catalogue
	decodeFaults := strictjson.Decode(content, &catalogue)
	return strictjson.Merge(decodeFaults, operatorwire.FromViolations(catalogue.Validate()))
}

// unknownDocumentFaults returns the faults of a document that is not valid JSON or has no field of any known kind.
func unknownDocumentFaults(content []byte) strictjson.Faults {
	var object map[string]json.RawMessage
	if faults := strictjson.Decode(content, &struct{}{}); len(faults) > 0 && json.Unmarshal(content, &object) != nil {
		return faults
	}
	return strictjson.Faults{{
		Path:    "$",
		Value:   strictjson.Show(object),
		Allowed: "the fields of settings (docs/settings.md) or of a catalogue (docs/operators/catalogue.md)",
		Remedy:  "write a settings file or a catalogue file",
	}}
}
