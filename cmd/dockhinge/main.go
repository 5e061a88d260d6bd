// Command dockhinge is a router in front of cache servers.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/pflag"

	"dockhinge.example/dockhinge/internal/handover"
	"dockhinge.example/dockhinge/internal/operator"
	"dockhinge.example/dockhinge/internal/router"
)

// errMistakes tells that files which were checked have mistakes. They are printed already.
var errMistakes = errors.New("mistakes found")

// Exit codes. docs/configuration.md names them.
const (
	exitFailed   = 1
	exitMistakes = 2
)

func main() {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // first of all: unhandled, it ends the program
	switch err := run(hup, os.Args[1:], os.Stdout, os.Stderr); {
	case errors.Is(err, errMistakes):
		os.Exit(exitMistakes)
	case err != nil:
		fmt.Fprintln(os.Stderr, "dockhinge:", err)
		os.Exit(exitFailed)
	}
}

// subcommand is one of the program's. The table of them is walked by hand: of the libraries for it,
// each keeps a megabyte or more of the program in memory on a router that may have 32
// (docs/laboratory-design.md has the figures).
type subcommand struct {
	name string
	// args are its arguments as the help shows them; "" = it takes none.
	args  string
	short string
	long  string
	flags *pflag.FlagSet
	exec  func(args []string) error
}

const serveHelp = `
Without a sub-command the program serves as well, by the configuration that GW_CONFIG names.

SIGTERM, SIGINT  accept nothing new, answer the requests in flight, end with 0
SIGHUP           read the platform's configuration, and the operator file's [admission], again and take both or none

Started beside a process that serves at the same address and has the same $TMPDIR, it takes over from that one without
losing a request. It ends with 1 where it can't start; the message names the setting.`

const checkHelp = `
Reads each file as the router would and prints each mistake as FILE:LINE: SETTING: REASON. What may stand in the
environment (GW_NAME and others) is taken from there. It opens no socket and changes nothing.

It ends with 0 where all is well and with 2 where a file has a mistake.`

const tenantsHelp = `
Asks routers at their admin addresses how fair admission stands, and prints a table of the tenants of each: the share
of all work that each was given, the share that it would have were it to want more now, and what became of its
requests: admitted (let in), served, rejected behind admission as the fleet had no capacity (turned), rejected by
admission (refused; of these: retries beyond the retry budget, and clients that returned before their retry-after was
over), and the mean retry-after (told ms).

It ends with 0 where all routers answered, else with 1.`

const completionHelp = `
    source <(dockhinge completion bash)`

func newFlagSet() *pflag.FlagSet {
	flags := pflag.NewFlagSet("dockhinge", pflag.ContinueOnError)
	flags.SetOutput(io.Discard) // errors are returned, and help is printed by run
	return flags
}

func subcommands(hup <-chan os.Signal, stdout, stderr io.Writer) []subcommand {
	var files configFiles
	serveFlags := newFlagSet()
	serveFlags.StringVar(&files.router, "config", "",
		"the platform's configuration, JSON (default: what GW_CONFIG names)")
	serveFlags.StringVar(&files.operator, "operator", "",
		"the operator file, TOML (default: none, and the platform's ways)")
	return []subcommand{
		{
			name:  "serve",
			short: "serve until SIGTERM, then answer the requests in flight and end",
			long:  serveHelp,
			flags: serveFlags,
			exec:  func([]string) error { return serve(hup, files) },
		},
		{
			name:  "check",
			args:  "FILE...",
			short: "check configurations (.json) and operator files (.toml)",
			long:  checkHelp,
			flags: newFlagSet(),
			exec:  func(paths []string) error { return check(paths, stdout, stderr) },
		},
		{
			name:  "tenants",
			args:  "ADDRESS...",
			short: "show how fair admission stands, by tenant",
			long:  tenantsHelp,
			flags: newFlagSet(),
			exec:  func(addrs []string) error { return tenants(addrs, stdout) },
		},
		{
			name:  "version",
			short: "print the versions of the program and of its forms",
			flags: newFlagSet(),
			exec:  func([]string) error { return version(stdout) },
		},
		{
			name:  "completion",
			args:  "bash|zsh|fish",
			short: "print a script that completes this command line",
			long:  completionHelp,
			flags: newFlagSet(),
			exec: func(shell []string) error {
				return completion(stdout, shell[0], subcommands(nil, stdout, stderr))
			},
		},
	}
}

// run carries out a command line. Without one the program serves.
func run(hup <-chan os.Signal, args []string, stdout, stderr io.Writer) error {
	commands := subcommands(hup, stdout, stderr)
	if len(args) == 0 {
		args = []string{"serve"}
	}
	if args[0] == "help" || args[0] == "--help" || args[0] == "-h" {
		return printHelp(stdout, commands)
	}
	if strings.HasPrefix(args[0], "-") { // the flags of serve
		args = append([]string{"serve"}, args...)
	}
	for _, c := range commands {
		if c.name == args[0] {
			return c.run(args[1:], stdout)
		}
	}
	return fmt.Errorf("%q is no sub-command; see dockhinge --help", args[0])
}

// printHelp prints a line for each sub-command.
func printHelp(stdout io.Writer, commands []subcommand) error {
	var b strings.Builder
	b.WriteString("A router in front of memcached-speaking cache servers.\n\n")
	for _, c := range commands {
		fmt.Fprintf(&b, "  dockhinge %-24s %s\n", strings.TrimSpace(c.name+" "+c.args), c.short)
	}
	b.WriteString("\ndockhinge SUB-COMMAND --help tells more of each; docs/configuration.md tells of the files.\n")
	_, err := io.WriteString(stdout, b.String())
	return err
}

// run reads a sub-command's flags and arguments and executes it.
func (c subcommand) run(args []string, stdout io.Writer) error {
	err := c.flags.Parse(args)
	rest := c.flags.Args()
	switch {
	case errors.Is(err, pflag.ErrHelp):
		usage := strings.TrimSpace(c.name + " [flags] " + c.args)
		long := strings.TrimSuffix(c.long, "\n")
		_, err = fmt.Fprintf(stdout, "dockhinge %s: %s\n%s\n\n%s", usage, c.short, long, c.flags.FlagUsages())
		return err
	case err != nil:
		return fmt.Errorf("%s: %w", c.name, err)
	case c.args == "" && len(rest) > 0:
		return fmt.Errorf("%s: takes no argument, and %q is one", c.name, rest[0])
	case c.args != "" && len(rest) == 0:
		return fmt.Errorf("%s: %s: missing", c.name, c.args)
	}
	return c.exec(rest)
}

// check prints the mistakes of each file. The error is errMistakes where there are any.
func check(paths []string, stdout, stderr io.Writer) error {
	var result error
	for _, path := range paths {
		if err := checkFile(path); err != nil {
			result = errMistakes
			fmt.Fprintln(stderr, err)
			continue
		}
		fmt.Fprintf(stdout, "%s: ok\n", path)
	}
	return result
}

// checkFile checks an operator file (.toml) or a configuration.
func checkFile(path string) error {
	if filepath.Ext(path) == ".toml" {
		_, err := operator.Load(path)
		return err
	}
	return router.Check(path, os.Getenv)
}

func version(stdout io.Writer) error {
	program := revision()
	if info, ok := debug.ReadBuildInfo(); ok {
		program += " " + info.GoVersion
	}
	_, err := fmt.Fprintf(stdout, "dockhinge %s\noperator file %d\nhandover %d\n",
		program, operator.Version, handover.Version)
	return err
}

// revision is the version that the program was built from.
func revision() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
