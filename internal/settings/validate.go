package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"

	"go.uber.org/zap/zapcore"

	"github.com/knapweedrouter/knapweedrouter/internal/hostlimits"
	"github.com/knapweedrouter/knapweedrouter/internal/strictjson"
)

const (
	maxNameLength = 128 // same limit as for catalogue IDs, because the catalogue contains the same data centres
	maxSecrets    = 2   // the old and the new secret during a rotation
	// minSecretBytes corresponds to 128 bits, which prevents brute-force attacks.
	minSecretBytes = 16
	maxSecretBytes = 4096
)

type validator struct{ faults strictjson.Faults }

func (v *validator) add(path string, value any, allowed, remedy string) {
	fault := strictjson.Fault{Path: path, Value: strictjson.Show(value), Allowed: allowed, Remedy: remedy}
	v.faults = append(v.faults, fault)
}

// Validate returns all faults of the settings. It does not read the files they refer to; see CheckFiles.
func (s Settings) Validate() strictjson.Faults {
	v := &validator{}
	v.checkName("$.host_id", string(s.HostID))
	v.checkName("$.data_centre", string(s.DataCentre))
	v.checkName("$.region", string(s.Region))
	v.checkListeners(s)
	v.checkAddresses("$.store_addresses", s.StoreAddresses)
	v.checkConnectAddress("$.host_list_address", s.HostListAddress)
	v.checkPaths("$.fleet_key_files", s.FleetKeyFiles, 1)
	v.checkPaths("$.operator_token_files", s.OperatorTokenFiles, 0)
	v.checkLimits(s)
	v.checkLogging(s)
	return v.faults
}

func (v *validator) checkName(path, value string) {
	isOther := func(r rune) bool { return !strings.ContainsRune("-_.", r) && !isAlphanumeric(r) }
	if value == "" || len(value) > maxNameLength || strings.ContainsFunc(value, isOther) {
		v.add(path, value, fmt.Sprintf("1 to %d letters, digits, '-', '_' or '.'", maxNameLength), "set a valid name")
	}
}

func isAlphanumeric(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
}

func (v *validator) checkLimits(s Settings) {
	if s.MemoryMB < 0 {
		v.add("$.memory_mb", strictjson.Show(s.MemoryMB), "0 or more", "set the memory of the host, or 0 if it is not known")
	}
	if s.MaxFDs != 0 && s.MaxFDs < hostlimits.MinFDs {
		v.add("$.max_fds", strictjson.Show(s.MaxFDs), fmt.Sprintf("0, or %d or more", hostlimits.MinFDs),
			"set the descriptors of the process, or 0 if only the system limits them")
	}
}

func (v *validator) checkListeners(s Settings) {
	v.checkListenAddress("$.caller_listen", s.CallerListen)
	v.checkListenAddress("$.operator_listen", s.OperatorListen)
	v.checkConnectAddress("$.peer_listen", s.PeerListen)
	if s.CallerListen != "" && s.CallerListen == s.OperatorListen {
		v.add("$.operator_listen", s.OperatorListen, "an address that no other listener has", "use another port")
	}
	if s.PeerListen != "" && (s.PeerListen == s.CallerListen || s.PeerListen == s.OperatorListen) {
		v.add("$.peer_listen", s.PeerListen, "an address that no other listener has", "use another port")
	}
}

func (v *validator) checkListenAddress(path, value string) bool {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		v.add(path, value, "IP:port with a port from 1 to 65535", "specify an IP address and a port, not a host name")
		return false
	}
	return true
}

func (v *validator) checkConnectAddress(path, value string) {
	if !v.checkListenAddress(path, value) {
		return
	}
	if netip.MustParseAddrPort(value).Addr().IsUnspecified() {
		v.add(path, value, "an IP:port that other processes can connect to", "specify the IP address of an interface")
	}
}

func (v *validator) checkAddresses(path string, values []string) {
	if len(values) == 0 {
		v.add(path, values, "at least 1 IP:port address", "specify the addresses of the key-value service")
	}
	for i, value := range values {
		element := fmt.Sprintf("%s[%d]", path, i)
		v.checkConnectAddress(element, value)
		if slices.Contains(values[:i], value) {
			v.add(element, value, "each address once", "remove the duplicate")
		}
	}
}

func (v *validator) checkPaths(path string, values []string, minCount int) {
	if len(values) < minCount || len(values) > maxSecrets {
		v.add(path, values, fmt.Sprintf("%d to %d file paths", minCount, maxSecrets), "specify the files")
	}
	for i, value := range values {
		if value == "" || strings.ContainsAny(value, "\n\x00") {
			v.add(fmt.Sprintf("%s[%d]", path, i), value, "the path of a file", "store the secret in a file and specify its path")
		}
	}
}

// The log formats.
const (
	LogFormatJSON    = "json"
	LogFormatConsole = "console"
)

func (v *validator) checkLogging(s Settings) {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel) {
		v.add("$.log_level", s.LogLevel, "debug, info, warn or error", "use one of these values, or omit the field for info")
	}
	if !slices.Contains([]string{LogFormatJSON, LogFormatConsole}, s.LogFormat) {
		v.add("$.log_format", s.LogFormat, "json or console", "use one of these values, or omit the field for json")
	}
}

// CheckFiles reads all files that the settings refer to and returns the faults. Faults never contain file content.
func (s Settings) CheckFiles() strictjson.Faults {
	v := &validator{}
	for i, path := range s.FleetKeyFiles {
		v.checkFile(fmt.Sprintf("$.fleet_key_files[%d]", i), path, ReadSecret)
	}
	for i, path := range s.OperatorTokenFiles {
		v.checkFile(fmt.Sprintf("$.operator_token_files[%d]", i), path, ReadToken)
	}
	return v.faults
}

func (v *validator) checkFile(path, name string, read func(string) ([]byte, error)) {
	if _, err := read(name); err != nil {
		v.add(path, name, fmt.Sprintf("a readable file of %d to %d bytes", minSecretBytes, maxSecretBytes), err.Error())
	}
}

// ReadSecret returns the content of a secret file without leading and trailing white space. Errors never contain the
// content.
func ReadSecret(path string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("make the file readable: %w", err)
	}
	secret := bytes.TrimSpace(content)
	if len(secret) < minSecretBytes || len(secret) > maxSecretBytes {
		return nil, fmt.Errorf("file %s contains %d bytes: it must contain a random secret of at least %d bytes",
			path, len(secret), minSecretBytes)
	}
	return secret, nil
}

// ReadToken returns the content of a secret file that can be sent in a header. It must be printable ASCII without white
// space.
func ReadToken(path string) ([]byte, error) {
	token, err := ReadSecret(path)
	if err != nil {
		return nil, err
	}
	if bytes.ContainsFunc(token, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return nil, fmt.Errorf("file %s contains characters other than printable ASCII: it must contain one token on one line", path)
	}
	return token, nil
}

// Level returns the log level.
func (s Settings) Level() zapcore.Level {
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return zapcore.InfoLevel
	}
	return level
}
