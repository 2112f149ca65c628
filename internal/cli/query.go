package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/knapweedrouter/knapweedrouter/internal/callerapi"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const maxAnswerBytes = 8 << 20

type queryCommand struct {
	Host        string  `long:"host" default:"127.0.0.1:8080" description:"IP:port of an entry host's caller listener"`
	TokenFile   string  `long:"token-file" required:"true" description:"file that holds the caller's token"`
	Search      string  `long:"search" required:"true" description:"search to use"`
	Text        string  `long:"text" description:"text to search for"`
	Limit       int     `long:"limit" default:"10" description:"number of hits"`
	DeadlineMS  int64   `long:"deadline-ms" default:"200" description:"time to wait in milliseconds"`
	MinCoverage float64 `long:"min-coverage" default:"0" description:"smallest coverage to accept, from 0 to 1"`
}

// Execute sends the search and prints the answer.
func (c *queryCommand) Execute([]string) error {
	token, err := os.ReadFile(c.TokenFile)
	if err != nil {
		return eris.Wrap(err, "token file")
	}
	text, err := json.Marshal(map[string]string{"text": c.Text})
	if err != nil {
		return err
	}
	body, err := json.Marshal(callerapi.SearchRequest{
		Search:      model.SearchID(c.Search),
		Query:       text,
		Limit:       c.Limit,
		DeadlineMS:  c.DeadlineMS,
		MinCoverage: c.MinCoverage,
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+c.Host+"/v1/search", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "entry host")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return eris.Wrap(err, "answer")
	}
	fmt.Print(string(answer))
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("the entry host answered %s", response.Status)
	}
	return nil
}
