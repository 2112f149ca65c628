package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/knapweedrouter/knapweedrouter/internal/callerapi"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const maxResponseBytes = 8 << 20

type queryCommand struct {
	Host           string  `long:"host" default:"127.0.0.1:8080" description:"IP:port of an entry host's caller listener"`
	TokenFile      string  `long:"token-file" required:"true" description:"file that holds the caller's token"`
	Search         string  `long:"search" required:"true" description:"search to use"`
	Text           string  `long:"text" description:"text to search for"`
	Limit          int     `long:"limit" default:"10" description:"number of hits"`
	DeadlineMS     int64   `long:"deadline-ms" default:"200" description:"time to wait in milliseconds"`
	SoftDeadlineMS int64   `long:"soft-deadline-ms" description:"with --mode fast: time in milliseconds after which the minimum coverage is enough"`
	MinCoverage    float64 `long:"min-coverage" default:"0" description:"smallest coverage to accept, from 0 to 1"`
	Mode           string  `long:"mode" choice:"fast" choice:"full" default:"full" description:"answer early, or wait for every shard"`
	Snapshot       string  `long:"snapshot" description:"token of the snapshot to read"`
	MinSnapshot    string  `long:"min-snapshot" description:"token of a snapshot that must not be newer than the one read"`
	OutputOptions
}

// Execute sends the search request and prints the result.
func (c *queryCommand) Execute([]string) error {
	token, err := os.ReadFile(c.TokenFile)
	if err != nil {
		return eris.Wrap(err, "token file")
	}
	text, err := json.Marshal(map[string]string{"text": c.Text})
	if err != nil {
		return err
	}
	reply, err := c.send(strings.TrimSpace(string(token)), callerapi.SearchRequest{
		Search:         model.SearchID(c.Search),
		Query:          text,
		Limit:          c.Limit,
		DeadlineMS:     c.DeadlineMS,
		SoftDeadlineMS: c.SoftDeadlineMS,
		MinCoverage:    c.MinCoverage,
		Mode:           c.Mode,
		Snapshot:       c.Snapshot,
		MinSnapshot:    c.MinSnapshot,
	})
	if err != nil {
		return c.reportError(err)
	}
	return c.print(reply)
}

func (c *queryCommand) send(token string, search callerapi.SearchRequest) (callerapi.SearchReply, error) {
	var reply callerapi.SearchReply
	body, err := json.Marshal(search)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Host+"/v1/search", bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply, fault.Wrap(err, fault.Unavailable, fault.OutcomeUnknown, "specify a running host with --host", "entry host %s", c.Host)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return reply, eris.Wrap(err, "read response")
	}
	if response.StatusCode == http.StatusOK {
		return reply, json.Unmarshal(responseBody, &reply)
	}
	var refused callerapi.ErrorReply
	if err := json.Unmarshal(responseBody, &refused); err != nil || refused.Error == nil {
		return reply, eris.Errorf("the entry host returned status %s without a structured error", response.Status)
	}
	return reply, refused.Error
}

func (c *queryCommand) print(reply callerapi.SearchReply) error {
	if c.isJSON() {
		return printJSON(reply)
	}
	fmt.Printf("query %s: %d of %d shards answered, coverage %.3f\n",
		reply.QueryID, reply.Coverage.Answered, reply.Coverage.Total, reply.Coverage.Fraction)
	rows := make([][]string, 0, len(reply.Hits))
	for _, hit := range reply.Hits {
		fields, err := json.Marshal(hit.Fields)
		if err != nil {
			return err
		}
		rows = append(rows, []string{string(hit.Index), hit.ID, fmt.Sprintf("%.3f", hit.Score), string(fields)})
	}
	printTable([]string{"INDEX", "ID", "SCORE", "FIELDS"}, rows)
	return nil
}
