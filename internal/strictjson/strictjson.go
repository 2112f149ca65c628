// Package strictjson decodes JSON documents and reports all unknown fields and type mismatches, not only the first one.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
)

// Fault describes an invalid value in a document.
type Fault struct {
	// Path is the JSON path of the invalid value, such as $.callers[2].rate.
	Path string `json:"path"`
	// Value is the invalid value as truncated JSON, or empty if the value is absent.
	Value string `json:"value"`
	// Allowed describes the valid values.
	Allowed string `json:"allowed"`
	// Remedy tells the user how to correct the value.
	Remedy string `json:"remedy"`
}

// String returns a one-line description of the fault.
func (f Fault) String() string {
	value := f.Value
	if value == "" {
		value = "absent"
	}
	return fmt.Sprintf("%s: value %s; allowed: %s; remedy: %s", f.Path, value, f.Allowed, f.Remedy)
}

// Faults lists the faults of a document. An empty list does not represent an error.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// OrNil returns the faults as an error, or nil if there are none.
func (f Faults) OrNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

const maxValueLength = 80

// Show returns a value as truncated JSON for use in a Fault.
func Show(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return truncate(string(text))
}

func truncate(text string) string {
	if len(text) <= maxValueLength {
		return text
	}
	return text[:maxValueLength] + "..."
}

// Decode decodes a JSON document into the struct that into points to. It returns a fault for each unknown field and each
// value of the wrong type. Valid fields are set even if others are invalid.
func Decode(content []byte, into any) Faults {
	tree, fault := parseDocument(content)
	if fault != nil {
		return Faults{*fault}
	}
	w := &walker{}
	w.checkValue("$", tree, reflect.TypeOf(into).Elem())
	err := json.Unmarshal(content, into) // continues after type mismatches
	if len(w.faults) > 0 {
		return w.faults
	}
	if err != nil {
		return Faults{{Path: "$", Value: truncate(string(content)), Allowed: "a valid document", Remedy: err.Error()}}
	}
	return nil
}

func parseDocument(content []byte) (any, *Fault) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return nil, syntaxFault(content, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &Fault{Path: "$", Allowed: "one JSON value", Remedy: "remove the data after the first value"}
	}
	return tree, nil
}

func syntaxFault(content []byte, err error) *Fault {
	remedy := err.Error()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(content[:min(int(syntax.Offset), len(content))], []byte("\n"))
		remedy = fmt.Sprintf("correct line %d: %s", line, err)
	}
	return &Fault{Path: "$", Value: truncate(string(content)), Allowed: "a JSON document", Remedy: remedy}
}

// walker compares a decoded document with a Go type and collects the faults.
type walker struct{ faults Faults }

func (w *walker) add(path string, value any, allowed, remedy string) {
	w.faults = append(w.faults, Fault{Path: path, Value: Show(value), Allowed: allowed, Remedy: remedy})
}

var (
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
)

func (w *walker) checkValue(path string, value any, t reflect.Type) {
	if value == nil {
		return
	}
	if reflect.PointerTo(t).Implements(jsonUnmarshaler) || reflect.PointerTo(t).Implements(textUnmarshaler) {
		w.checkScalar(path, value, t)
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		w.checkValue(path, value, t.Elem())
	case reflect.Struct:
		w.checkObject(path, value, t)
	case reflect.Slice:
		w.checkArray(path, value, t)
	default:
		w.checkScalar(path, value, t)
	}
}

func (w *walker) checkObject(path string, value any, t reflect.Type) {
	object, ok := value.(map[string]any)
	if !ok {
		w.add(path, value, "a JSON object", "use an object in braces")
		return
	}
	fields := map[string]reflect.Type{}
	collectFields(t, fields)
	names := sortedKeys(object)
	for _, name := range names {
		field, known := fields[name]
		if !known {
			w.add(path+"."+name, object[name], "one of "+strings.Join(sortedKeys(fields), ", "), "remove the unknown field or correct its name")
			continue
		}
		w.checkValue(path+"."+name, object[name], field)
	}
}

func (w *walker) checkArray(path string, value any, t reflect.Type) {
	elements, ok := value.([]any)
	if !ok {
		w.add(path, value, "a JSON array", "use an array in square brackets")
		return
	}
	for i, element := range elements {
		w.checkValue(fmt.Sprintf("%s[%d]", path, i), element, t.Elem())
	}
}

// checkScalar decodes the value with encoding/json, which checks number ranges and handles custom unmarshalers.
func (w *walker) checkScalar(path string, value any, t reflect.Type) {
	content, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(content, reflect.New(t).Interface())
	}
	if err != nil {
		w.add(path, value, describeType(t), "correct the value")
	}
}

func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a non-negative integer"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "an integer"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a " + t.String()
	}
}

// collectFields adds the JSON field names of a struct, including those of embedded structs, with their types.
func collectFields(t reflect.Type, into map[string]reflect.Type) {
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		switch {
		case field.Anonymous && name == "":
			collectFields(field.Type, into)
		case !field.IsExported() || name == "-":
		case name == "":
			into[field.Name] = field.Type
		default:
			into[name] = field.Type
		}
	}
}

// Merge returns the faults of decoding a document together with the faults of validating its values. It omits validation
// faults of values that could not be decoded in whole or in part.
func Merge(decoding, validation Faults) Faults {
	merged := slices.Clone(decoding)
	for _, fault := range validation {
		covers := func(f Fault) bool { return f.Path == fault.Path || strings.HasPrefix(f.Path, fault.Path+"[") }
		if !slices.ContainsFunc(decoding, covers) {
			merged = append(merged, fault)
		}
	}
	return merged
}

// Overlap returns the number of top-level fields in the document that are fields of the struct type t.
func Overlap(content []byte, t reflect.Type) int {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(content, &object); err != nil {
		return 0
	}
	fields := map[string]reflect.Type{}
	collectFields(t, fields)
	count := 0
	for name := range object {
		if _, ok := fields[name]; ok {
			count++
		}
	}
	return count
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
