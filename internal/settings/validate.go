package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"

	"go.uber.org/zap/zapcore"

	"github.com/knapweedrouter/knapweedrouter/internal/strictjson"
)

const (
	maxNameLength = 128 // as in the catalogue, which names the same data centres
	maxSecrets    = 2   // the old one and the new one during a rotation
	// minSecretBytes is 128 bits, so that a secret can't be found by trying.
	minSecretBytes = 16
	maxSecretBytes = 4096
)

type check struct{ faults strictjson.Faults }

func (c *check) add(path string, value any, allowed, remedy string) {
	fault := strictjson.Fault{Path: path, Value: strictjson.Show(value), Allowed: allowed, Remedy: remedy}
	c.faults = append(c.faults, fault)
}

// Validate returns every fault of the values. It opens no file; see CheckFiles.
func (s Settings) Validate() strictjson.Faults {
	c := &check{}
	c.name("$.host_id", string(s.HostID))
	c.name("$.data_centre", string(s.DataCentre))
	c.name("$.region", string(s.Region))
	c.listeners(s)
	c.addresses("$.store_addresses", s.StoreAddresses)
	c.connectAddress("$.host_list_address", s.HostListAddress)
	c.paths("$.fleet_key_files", s.FleetKeyFiles, 1)
	c.paths("$.operator_token_files", s.OperatorTokenFiles, 0)
	c.logging(s)
	return c.faults
}

func (c *check) name(path, value string) {
	isOther := func(r rune) bool { return !strings.ContainsRune("-_.", r) && !isAlphanumeric(r) }
	if value == "" || len(value) > maxNameLength || strings.ContainsFunc(value, isOther) {
		c.add(path, value, fmt.Sprintf("1 to %d letters, digits, '-', '_' or '.'", maxNameLength), "give the name")
	}
}

func isAlphanumeric(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
}

func (c *check) listeners(s Settings) {
	c.listenAddress("$.caller_listen", s.CallerListen)
	c.listenAddress("$.operator_listen", s.OperatorListen)
	c.connectAddress("$.peer_listen", s.PeerListen)
	if s.CallerListen != "" && s.CallerListen == s.OperatorListen {
		c.add("$.operator_listen", s.OperatorListen, "an address that no other listener has", "use another port")
	}
	if s.PeerListen != "" && (s.PeerListen == s.CallerListen || s.PeerListen == s.OperatorListen) {
		c.add("$.peer_listen", s.PeerListen, "an address that no other listener has", "use another port")
	}
}

func (c *check) listenAddress(path, value string) bool {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		c.add(path, value, "IP:port with a port from 1 to 65535", "give an IP address and a port, not a name")
		return false
	}
	return true
}

func (c *check) connectAddress(path, value string) {
	if !c.listenAddress(path, value) {
		return
	}
	if netip.MustParseAddrPort(value).Addr().IsUnspecified() {
		c.add(path, value, "an IP:port that other processes can connect to", "give the IP address of one interface")
	}
}

func (c *check) addresses(path string, values []string) {
	if len(values) == 0 {
		c.add(path, values, "at least 1 IP:port address", "give the addresses of the key-value service")
	}
	for i, value := range values {
		element := fmt.Sprintf("%s[%d]", path, i)
		c.connectAddress(element, value)
		if slices.Contains(values[:i], value) {
			c.add(element, value, "each address once", "remove the repetition")
		}
	}
}

func (c *check) paths(path string, values []string, least int) {
	if len(values) < least || len(values) > maxSecrets {
		c.add(path, values, fmt.Sprintf("%d to %d file paths", least, maxSecrets), "name the files")
	}
	for i, value := range values {
		if value == "" || strings.ContainsAny(value, "\n\x00") {
			c.add(fmt.Sprintf("%s[%d]", path, i), value, "the path of a file", "put the secret into a file and name the file")
		}
	}
}

// The log formats.
const (
	LogFormatJSON    = "json"
	LogFormatConsole = "console"
)

func (c *check) logging(s Settings) {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel) {
		c.add("$.log_level", s.LogLevel, "debug, info, warn or error", "use one of these, or leave it out for info")
	}
	if !slices.Contains([]string{LogFormatJSON, LogFormatConsole}, s.LogFormat) {
		c.add("$.log_format", s.LogFormat, "json or console", "use one of these, or leave it out for json")
	}
}

// CheckFiles reads every file that the settings name and returns the faults. No fault holds a file's content.
func (s Settings) CheckFiles() strictjson.Faults {
	c := &check{}
	for i, path := range s.FleetKeyFiles {
		c.file(fmt.Sprintf("$.fleet_key_files[%d]", i), path, ReadSecret)
	}
	for i, path := range s.OperatorTokenFiles {
		c.file(fmt.Sprintf("$.operator_token_files[%d]", i), path, ReadToken)
	}
	return c.faults
}

func (c *check) file(path, name string, read func(string) ([]byte, error)) {
	if _, err := read(name); err != nil {
		c.add(path, name, fmt.Sprintf("a readable file of %d to %d bytes", minSecretBytes, maxSecretBytes), err.Error())
	}
}

// ReadSecret returns the content of a secret's file without white space around it. Errors do not hold the content.
func ReadSecret(path string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("make the file readable: %w", err)
	}
	secret := bytes.TrimSpace(content)
	if len(secret) < minSecretBytes || len(secret) > maxSecretBytes {
		return nil, fmt.Errorf("the file %s holds %d bytes: put a random secret of at least %d bytes into it",
			path, len(secret), minSecretBytes)
	}
	return secret, nil
}

// ReadToken returns a secret that can be sent in a header: printable ASCII without white space.
func ReadToken(path string) ([]byte, error) {
	token, err := ReadSecret(path)
	if err != nil {
		return nil, err
	}
	if bytes.ContainsFunc(token, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return nil, fmt.Errorf("the file %s holds other bytes than printable ASCII: put one token on one line into it", path)
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
