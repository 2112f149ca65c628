package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorclient"
	"github.com/knapweedrouter/knapweedrouter/internal/settings"
)

// commandTimeout bounds a command, over all hosts that it tries.
const commandTimeout = 30 * time.Second

// OperatorOptions holds the options common to all commands that connect to an operator listener.
type OperatorOptions struct {
	Hosts     []string `long:"host" env:"KNAPWEEDROUTER_OPERATOR_HOSTS" env-delim:"," default:"127.0.0.1:8081" description:"IP:port of an operator listener; repeat it to name hosts to fall back to"`
	TokenFile string   `long:"token-file" env:"KNAPWEEDROUTER_OPERATOR_TOKEN_FILE" required:"true" description:"file that holds an operator's token"`
	OutputOptions
}

func (o OperatorOptions) client() (*operatorclient.Client, error) {
	return o.clientFor(o.Hosts)
}

func (o OperatorOptions) clientFor(hosts []string) (*operatorclient.Client, error) {
	token, err := settings.ReadToken(o.TokenFile)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.NotRun, "specify the file of an operator token with --token-file", "token file")
	}
	return operatorclient.New(operatorclient.Config{Hosts: hosts, Token: string(token)}), nil
}

// ChangeOptions holds the options common to all commands that change the catalogue.
type ChangeOptions struct {
	OperatorOptions
	ChangeID string `long:"change-id" description:"id of a change whose outcome is unknown, to send it again safely"`
	BasedOn  uint64 `long:"based-on" description:"generation that the change is based on (default: the one in force)"`
	Author   string `long:"author" env:"USER" description:"name to keep in the history"`
	Reason   string `long:"reason" description:"reason to keep in the history"`
}

// send submits the edits as one change and prints the outcome.
func (o ChangeOptions) send(edits []change.Edit, basedOn model.Generation, force bool) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	if basedOn, err = o.baseGeneration(ctx, client, basedOn); err != nil {
		return err
	}
	request := operatorwire.ChangeRequest{Force: force, Repeat: o.ChangeID != "", Change: change.Change{
		ID: o.ChangeID, BasedOn: basedOn, Author: o.Author, Reason: o.Reason, Edits: edits,
	}}
	if request.ID == "" {
		request.ID = operatorclient.NewChangeID()
	}
	reply, err := client.Change(ctx, request)
	if err != nil {
		return o.reportError(err)
	}
	if o.isJSON() {
		return printJSON(reply)
	}
	fmt.Printf("change %s accepted as generation %d\n", reply.ChangeID, reply.Generation)
	return nil
}

// baseGeneration returns the generation that a change is based on: that of the --based-on option, else the given one
// unless it is 0, else the generation in force.
func (o ChangeOptions) baseGeneration(ctx context.Context, client *operatorclient.Client, given model.Generation) (model.Generation, error) {
	if o.BasedOn > 0 {
		return model.Generation(o.BasedOn), nil
	}
	if given > 0 {
		return given, nil
	}
	var entries operatorwire.Entries
	err := client.Get(ctx, operatorwire.PathCatalogue+"/"+string(change.DataCentre), nil, &entries)
	return entries.Generation, err
}

// reportError prints the error if the output format is JSON, and the details of a conflict otherwise. It returns the error
// for further handling.
func (o OutputOptions) reportError(err error) error {
	var conflict *operatorclient.ConflictError
	isConflict := errors.As(err, &conflict)
	if o.isJSON() {
		reply := operatorwire.ErrorReply{Error: fault.As(err)}
		if isConflict {
			reply.Conflict = conflict.Conflict
		}
		var invalid *operatorclient.InvalidError
		if errors.As(err, &invalid) {
			reply.Faults = invalid.Faults
		}
		if printErr := printJSON(reply); printErr != nil {
			return printErr
		}
		return &reportedError{err}
	}
	if isConflict {
		fmt.Fprint(os.Stderr, describeConflict(conflict.Conflict))
	}
	return err
}

func describeConflict(c *change.Conflict) string {
	var text strings.Builder
	fmt.Fprintf(&text, "your change, based on generation %d:\n", c.Yours.BasedOn)
	for _, edit := range c.Yours.Edits {
		fmt.Fprintf(&text, "  %s\n", edit)
	}
	fmt.Fprintf(&text, "accepted since, up to generation %d:\n", c.Current)
	for _, accepted := range c.Theirs {
		fmt.Fprintf(&text, "  generation %d, change %s by %s: %s\n", accepted.Generation, accepted.ID, accepted.Author, accepted.Reason)
		for _, edit := range accepted.Edits {
			fmt.Fprintf(&text, "    %s\n", edit)
		}
	}
	return text.String()
}
