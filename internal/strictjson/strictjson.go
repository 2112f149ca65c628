// Package strictjson decodes JSON documents and reports every field that is unknown or of a wrong type, not only the
// first one.
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

// Fault is one fault of a document.
type Fault struct {
	// Path is the JSON path of the faulty value, such as $.callers[2].rate.
	Path string `json:"path"`
	// Value is the faulty value as JSON, shortened; empty if it is absent.
	Value string `json:"value"`
	// Allowed says which values are valid.
	Allowed string `json:"allowed"`
	// Remedy tells the reader what to do.
	Remedy string `json:"remedy"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	value := f.Value
	if value == "" {
		value = "absent"
	}
	return fmt.Sprintf("%s: value %s; allowed: %s; remedy: %s", f.Path, value, f.Allowed, f.Remedy)
}

// Faults are the faults of one document. An empty list is no error.
type Faults []Fault

// Error returns one line for each fault.
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

// Show returns a value as shortened JSON for a fault.
func Show(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return shorten(string(text))
}

func shorten(text string) string {
	if len(text) <= maxValueLength {
		return text
	}
	return text[:maxValueLength] + "..."
}

// Decode fills into, a pointer to a struct, from a JSON document. It returns every unknown field and every value of a
// wrong type. Valid fields are filled even if others are faulty.
func Decode(content []byte, into any) Faults {
	tree, fault := parse(content)
	if fault != nil {
		return Faults{*fault}
	}
	w := &walker{}
	w.value("$", tree, reflect.TypeOf(into).Elem())
	err := json.Unmarshal(content, into) // it goes on after a value of a wrong type
	if len(w.faults) > 0 {
		return w.faults
	}
	if err != nil {
		return Faults{{Path: "$", Value: shorten(string(content)), Allowed: "a valid document", Remedy: err.Error()}}
	}
	return nil
}

func parse(content []byte) (any, *Fault) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return nil, syntaxFault(content, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &Fault{Path: "$", Allowed: "one JSON value", Remedy: "remove what follows the first value"}
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
	return &Fault{Path: "$", Value: shorten(string(content)), Allowed: "a JSON document", Remedy: remedy}
}

type walker struct{ faults Faults }

func (w *walker) add(path string, value any, allowed, remedy string) {
	w.faults = append(w.faults, Fault{Path: path, Value: Show(value), Allowed: allowed, Remedy: remedy})
}

var (
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
)

func (w *walker) value(path string, value any, t reflect.Type) {
	if value == nil {
		return
	}
	if reflect.PointerTo(t).Implements(jsonUnmarshaler) || reflect.PointerTo(t).Implements(textUnmarshaler) {
		w.scalar(path, value, t)
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		w.value(path, value, t.Elem())
	case reflect.Struct:
		w.object(path, value, t)
	case reflect.Slice:
		w.array(path, value, t)
	default:
		w.scalar(path, value, t)
	}
}

func (w *walker) object(path string, value any, t reflect.Type) {
	object, ok := value.(map[string]any)
	if !ok {
		w.add(path, value, "a JSON object", "write it in braces")
		return
	}
	fields := map[string]reflect.Type{}
	collect(t, fields)
	names := sortedKeys(object)
	for _, name := range names {
		field, known := fields[name]
		if !known {
			w.add(path+"."+name, object[name], "one of "+strings.Join(sortedKeys(fields), ", "), "remove the unknown field or correct its name")
			continue
		}
		w.value(path+"."+name, object[name], field)
	}
}

func (w *walker) array(path string, value any, t reflect.Type) {
	elements, ok := value.([]any)
	if !ok {
		w.add(path, value, "a JSON array", "write it in square brackets")
		return
	}
	for i, element := range elements {
		w.value(fmt.Sprintf("%s[%d]", path, i), element, t.Elem())
	}
}

// scalar tries the decoder of the standard library, which knows the ranges of numbers and custom types.
func (w *walker) scalar(path string, value any, t reflect.Type) {
	content, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(content, reflect.New(t).Interface())
	}
	if err != nil {
		w.add(path, value, describe(t), "correct the value")
	}
}

func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number, 0 or more"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a " + t.String()
	}
}

// collect lists the JSON fields of a struct with their types.
func collect(t reflect.Type, into map[string]reflect.Type) {
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		switch {
		case field.Anonymous && name == "":
			collect(field.Type, into)
		case !field.IsExported() || name == "-":
		case name == "":
			into[field.Name] = field.Type
		default:
			into[name] = field.Type
		}
	}
}

// Merge returns the faults of form and those faults of values that lie elsewhere: a value that could not be read has no
// further faults.
func Merge(form, values Faults) Faults {
	merged := slices.Clone(form)
	for _, fault := range values {
		covers := func(f Fault) bool { return f.Path == fault.Path || strings.HasPrefix(f.Path, fault.Path+"[") }
		if !slices.ContainsFunc(form, covers) {
			merged = append(merged, fault)
		}
	}
	return merged
}

// Overlap returns how many top-level fields of the document are fields of t, a struct type.
func Overlap(content []byte, t reflect.Type) int {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(content, &object); err != nil {
		return 0
	}
	fields := map[string]reflect.Type{}
	collect(t, fields)
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
