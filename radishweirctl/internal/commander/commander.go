// Package commander runs the commands of radishweirctl.
//
// # Usage
//
//	os.Exit(commander.Main(version, os.Stdout, os.Stderr))
package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"radishweir.org/lib/configurer"
	"radishweir.org/lib/loader"
	"radishweir.org/lib/platform"
)

// Exit codes.
const (
	exitOK         = 0
	exitFailure    = 1
	exitUsage      = 2
	exitConflict   = 3
	exitUnknown    = 4
	exitNotInForce = 5
)

const (
	// commandTimeout bounds a command that does not wait.
	commandTimeout = 30 * time.Second
	// inForceTimeout bounds the wait for a configuration to come into force.
	inForceTimeout = 30 * time.Second
)

// Settings are read from the settings file; command-line flags override them.
type Settings struct {
	PlatformAddresses []string `toml:"platform_addresses"`
	Author            string   `toml:"author"`
}

// fields lists the settings with their defaults and validators.
func (s *Settings) fields() []loader.Field {
	return []loader.Field{
		{Key: "platform_addresses", Value: &s.PlatformAddresses, Check: loader.Addresses},
		{Key: "author", Value: &s.Author, Default: os.Getenv("USER")},
	}
}

// Commander holds the options, the input and the outputs of one command.
type Commander struct {
	Settings
	In       io.Reader
	Out, Err io.Writer

	settingsFile string
	asJSON       bool
	wait         bool
	basedOn      uint64
	file         string
	service      string
	entry        string
	token        string
	at           string
	job          string
	names        []string
	directory    string
	store        *platform.Etcd
}

// command is one command with its options. A path of two words names a group
// and a subcommand in it.
type command struct {
	path        string
	description string
	options     func(*Commander, *flaggy.Subcommand)
	run         func(*Commander, context.Context) error
	// skipsStore is true for commands that run without a client of the etcd store.
	skipsStore bool
}

// commands lists all commands.
var commands = []command{
	{"questionnaire init", "print a questionnaire to fill in", nil, (*Commander).questionnaireInit, true},
	{"questionnaire check", "check a questionnaire and print what it generates", fileArgument, (*Commander).questionnaireCheck, true},
	{"questionnaire apply", "put a questionnaire's configuration in force", applyOptions, (*Commander).questionnaireApply, false},
	{"questionnaire show", "print the questionnaire in force", serviceArgument, (*Commander).questionnaireShow, false},
	{"questionnaire history", "list the revisions of a service", serviceArgument, (*Commander).questionnaireHistory, false},
	{"status", "show the entries", nil, (*Commander).status, false},
	{"vms", "show the platform's VM list", nil, (*Commander).vms, false},
	{"leased status", "show the entries on leased upstreams and the age of what they know", nil, (*Commander).leasedStatus, true},
	{"leased upstreams", "show who owns which leased upstream", nil, (*Commander).leasedUpstreams, true},
	{"explain", "explain a job of leased entries from their logs on standard input", explainOptions, (*Commander).explainJob, true},
	{"job show", "show a job", jobOptions, (*Commander).jobShow, true},
	{"job cancel", "cancel a job", jobOptions, (*Commander).jobCancel, true},
	{"keys issue", "create an authority and a certificate for each entry", keysOptions, (*Commander).keysIssue, true},
}

func fileArgument(c *Commander, s *flaggy.Subcommand) {
	s.AddPositionalValue(&c.file, "file", 1, true, "the questionnaire, in TOML")
}

func serviceArgument(c *Commander, s *flaggy.Subcommand) {
	s.AddPositionalValue(&c.service, "service", 1, true, "name of the service")
}

func applyOptions(c *Commander, s *flaggy.Subcommand) {
	fileArgument(c, s)
	s.Bool(&c.wait, "w", "wait", "wait until every entry has it in force")
	s.UInt64(&c.basedOn, "b", "based-on", "refuse unless this revision is the present one")
}

func jobOptions(c *Commander, s *flaggy.Subcommand) {
	s.AddPositionalValue(&c.job, "id", 1, true, "identifier of the job")
	s.String(&c.entry, "e", "entry", "address of an entry for callers")
	s.String(&c.service, "n", "service", "name of the service")
	s.String(&c.token, "t", "token", "bearer token of the tenant")
}

func explainOptions(c *Commander, s *flaggy.Subcommand) {
	s.AddPositionalValue(&c.job, "id", 1, true, "identifier of the job, the last part of the request's path; unknown if it isn't known")
	s.String(&c.at, "t", "at", "time of the request in the logs, for a job without a line")
	s.String(&c.entry, "e", "entry", "name of the entry that it was sent to")
}

func keysOptions(c *Commander, s *flaggy.Subcommand) {
	s.AddPositionalValue(&c.directory, "directory", 1, true, "folder to fill")
	s.StringSlice(&c.names, "n", "names", "names of the entries")
}

// Main parses the command line, runs the command and returns the exit code.
func Main(version string, out, errOut io.Writer) int {
	c := &Commander{In: os.Stdin, Out: out, Err: errOut}
	leaves := c.parse(version)
	for _, cmd := range commands {
		if !leaves[cmd.path].Used {
			continue
		}
		if err := c.prepare(cmd); err != nil {
			return c.report(err, exitUsage)
		}
		ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
		defer cancel()
		return c.report(cmd.run(c, ctx), exitFailure)
	}
	flaggy.ShowHelp("")
	return exitUsage
}

// parse builds the parser from the table of commands, parses the command line
// and returns the subcommands by path.
func (c *Commander) parse(version string) map[string]*flaggy.Subcommand {
	flaggy.SetName("radishweirctl")
	flaggy.SetDescription("the operators' command line of radishweir")
	flaggy.SetVersion(version)
	flaggy.String(&c.settingsFile, "s", "settings", "the settings file, in TOML")
	flaggy.StringSlice(&c.PlatformAddresses, "p", "platform", "address of the platform")
	flaggy.String(&c.Author, "a", "author", "name under which changes are made")
	flaggy.Bool(&c.asJSON, "j", "json", "print JSON")
	groups := make(map[string]*flaggy.Subcommand)
	leaves := make(map[string]*flaggy.Subcommand)
	for _, cmd := range commands {
		group, leaf, nested := strings.Cut(cmd.path, " ")
		if !nested {
			leaf = group
		}
		s := flaggy.NewSubcommand(leaf)
		s.Description = cmd.description
		if cmd.options != nil {
			cmd.options(c, s)
		}
		leaves[cmd.path] = s
		if !nested {
			flaggy.AttachSubcommand(s, 1)
			continue
		}
		if groups[group] == nil {
			groups[group] = flaggy.NewSubcommand(group)
			flaggy.AttachSubcommand(groups[group], 1)
		}
		groups[group].AttachSubcommand(s, 1)
	}
	flaggy.Parse()
	return leaves
}

// prepare loads the settings and creates the client of the etcd store if the
// command needs it.
func (c *Commander) prepare(cmd command) error {
	flags := c.Settings
	if c.settingsFile != "" {
		c.Settings = Settings{}
		if err := loader.Load(c.settingsFile, &c.Settings, c.fields()); err != nil {
			return err
		}
	}
	if len(flags.PlatformAddresses) > 0 {
		c.PlatformAddresses = flags.PlatformAddresses
	}
	if flags.Author != "" {
		c.Author = flags.Author
	}
	if cmd.skipsStore {
		return nil
	}
	if err := loader.Addresses(c.PlatformAddresses); err != nil {
		return errors.Errorf("--platform: %v", err)
	}
	c.store = platform.NewEtcd(c.PlatformAddresses, nil)
	return nil
}

// usageError marks an error in what the operator entered, such as a missing flag
// or an invalid questionnaire.
type usageError struct{ error }

// notInForceError reports that a configuration was not in force on all entries
// before the timeout.
type notInForceError struct{ error }

// report prints err on one line and returns its exit code; code is the one for
// errors without a code of their own.
func (c *Commander) report(err error, code int) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(c.Err, "radishweirctl:", err)
	var usage *usageError
	var race *configurer.ConflictError
	var late *notInForceError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &race):
		return exitConflict
	case errors.As(err, &late):
		return exitNotInForce
	case errors.Is(err, configurer.ErrOutcomeUnknown), errors.Is(err, platform.ErrUnknown):
		return exitUnknown
	}
	return code
}

// print writes v as JSON if --json is set, otherwise rows as a table.
func (c *Commander) print(v any, rows [][]string) error {
	if c.asJSON {
		e := json.NewEncoder(c.Out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}
