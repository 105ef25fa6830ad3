package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamestand/sesamestand/internal/entry"
	"github.com/sesamestand/sesamestand/internal/fronthost"
	"github.com/sesamestand/sesamestand/internal/telemetry"
)

// adminTimeout bounds one request to an entry host.
const adminTimeout = 5 * time.Second

// adminTarget is the entry host that an operator command queries.
type adminTarget struct {
	Addr  string `arg:"--addr,required" help:"HTTP address of an entry host; on a log store its metrics address" placeholder:"IP:PORT"`
	Token string `arg:"--token,env:SESAMESTAND_OPERATOR_TOKEN" help:"operator token"`
	JSON  bool   `arg:"--json" help:"print JSON"`
}

func (t adminTarget) get(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Addr+path, nil)
	if err != nil {
		return eris.Wrap(err, "build the request")
	}
	request.Header.Set("Authorization", "Bearer "+t.Token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrapf(err, "query entry host %s", t.Addr)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return eris.Wrap(err, "read the response")
	}
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("entry host %s returned status %d: %s", t.Addr, response.StatusCode, strings.TrimSpace(string(body)))
	}
	return eris.Wrap(json.Unmarshal(body, into), "decode the response")
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// statusCommand prints the status of one entry host.
type statusCommand struct {
	adminTarget
}

func (c *statusCommand) run(ctx context.Context) error {
	var body json.RawMessage
	if err := c.get(ctx, "/status", &body); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(body)
	}
	// Only the status of a host on a log store names a group member.
	var onLogStore fronthost.Status
	if err := json.Unmarshal(body, &onLogStore); err != nil {
		return eris.Wrap(err, "decode the status")
	}
	if onLogStore.Member != "" {
		return printLogStoreStatus(os.Stdout, onLogStore)
	}
	var status entry.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return eris.Wrap(err, "decode the status")
	}
	return printStatus(os.Stdout, status)
}

func printLogStoreStatus(out io.Writer, status fronthost.Status) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "host\t%s\nmember\t%s\ndata centre\t%s\nready\t%t\ndraining\t%t\nin flight\t%d\nconfiguration version\t%d\n",
		status.Host, status.Member, status.DataCentre, status.Ready, status.Draining, status.InFlight, status.ConfigVersion)
	if a := status.Access; a != nil {
		fmt.Fprintf(w, "workspaces\t%d\nrequests with keys permitted\t%t\nconfiguration read, ms ago\t%d\n", a.Workspaces, a.Permitted, a.ReadAgeMs)
	}
	fmt.Fprintln(w, "\nPARTITION\tAGE, MS\tSTORE LOST\tEPOCH HELD")
	for _, p := range status.Partitions {
		fmt.Fprintf(w, "%d\t%d\t%t\t%d\n", p.Number, p.AgeMs, p.StoreUnavailable, p.Epoch)
	}
	fmt.Fprintln(w, "\nJOB\tMODEL\tSTEP\tMIN VERSION\tPARTITION\tLISTED\tENDED\tAGE, MS")
	for _, j := range status.Jobs {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d/%d\t%t\t%d\n", j.Label(), j.Model, j.Step, j.MinVersion, j.Partition, j.Committed, j.Items, j.Ended, j.AgeMs)
	}
	fmt.Fprintln(w, "\nBACKEND SERVER\tSERVICE\tDATA CENTRE\tLEAVING\tSERVES\tVERSIONS\tLOADING\tORDERED BY")
	for _, s := range status.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%s\t%v\t%s\t%s\n", s.ID, s.Service, s.DataCentre, s.Leaving, strings.Join(s.Serves, ","), s.Versions, s.Loading, s.OrderOwner)
	}
	fmt.Fprintln(w, "\nCOUNTER\tVALUE")
	for _, c := range status.Counters {
		fmt.Fprintf(w, "%s\t%d\n", c.Name, c.Value)
	}
	return w.Flush()
}

func printStatus(out io.Writer, status entry.Status) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "host\t%s\ndata centre\t%s\nready\t%t\ndraining\t%t\nin flight\t%d\nconfiguration version\t%d\n",
		status.Host, status.DataCentre, status.Ready, status.Draining, status.InFlight, status.ConfigVersion)
	fmt.Fprintln(w, "\nMEMBER\tDATA CENTRE\tSTATE")
	for _, m := range status.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\n", m.ID, m.DataCentre, m.State)
	}
	fmt.Fprintln(w, "\nOWNED REPLICA\tMODEL\tVERSION\tROLE\tHEALTHY\tLEAVING\tFENCE\tMAY ORDER")
	for _, r := range status.Replicas {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%t\t%t\t%d\t%t\n", r.ID, r.Model, r.Version, r.Role, r.Healthy, r.Leaving, r.Fence, r.MayOrder)
	}
	fmt.Fprintln(w, "\nCOUNTER\tVALUE")
	for _, c := range status.Counters {
		fmt.Fprintf(w, "%s\t%d\n", c.Name, c.Value)
	}
	return w.Flush()
}

// explainCommand prints the decisions that one entry host made for a request, or the one
// that it would make now.
type explainCommand struct {
	RequestID string `arg:"positional" help:"identifier of the request"`
	Next      bool   `arg:"--next" help:"show where a request or an item of a job would go now, without sending it; on a log store only"`
	HostName  string `arg:"--host" help:"with --next: host name of the request" placeholder:"NAME"`
	Method    string `arg:"--method" default:"GET" help:"with --next: method of the request"`
	Path      string `arg:"--path" help:"with --next: path of the request"`
	Model     string `arg:"--model" help:"with --next: model of the job, in place of host name and path"`
	adminTarget
}

// runNext prints the decision that the host would make now.
func (c *explainCommand) runNext(ctx context.Context) error {
	query := url.Values{"host": {c.HostName}, "method": {c.Method}, "path": {c.Path}, "model": {c.Model}, "id": {c.RequestID}}
	var preview fronthost.Preview
	if err := c.get(ctx, "/next?"+query.Encode(), &preview); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(preview)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "route\t%s\nservice\t%s\nserver\t%s\ndata centre\t%s\nwhy\t%s\nplace\t%s\nneed a grant\t%s\n",
		preview.Route, preview.Service, preview.Server, preview.DataCentre, preview.Why, preview.PlaceWhy, strings.Join(preview.NeedGrant, ", "))
	return w.Flush()
}

func (c *explainCommand) run(ctx context.Context) error {
	if c.Next {
		return c.runNext(ctx)
	}
	if c.RequestID == "" {
		return eris.New("a request identifier or --next is needed")
	}
	var decisions []telemetry.Decision
	if err := c.get(ctx, "/explain/"+url.PathEscape(c.RequestID), &decisions); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(decisions)
	}
	for _, d := range decisions {
		fmt.Print(d.Kind)
		for i := 0; i+1 < len(d.Details); i += 2 {
			fmt.Printf(" %v=%v", d.Details[i], d.Details[i+1])
		}
		fmt.Println()
	}
	return nil
}
