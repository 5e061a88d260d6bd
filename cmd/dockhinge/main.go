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

// errMistakes reports that a checked file has mistakes, which have already been printed.
var errMistakes = errors.New("mistakes found")

// Exit codes. docs/configuration.md documents them.
const (
	exitFailed   = 1
	exitMistakes = 2
)

func main() {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // before anything else: by default SIGHUP ends the program
	switch err := run(hup, os.Args[1:], os.Stdout, os.Stderr); {
	case errors.Is(err, errMistakes):
		os.Exit(exitMistakes)
	case err != nil:
		fmt.Fprintln(os.Stderr, "dockhinge:", err)
		os.Exit(exitFailed)
	}
}

// subcommand is a sub-command of the program. Sub-commands are dispatched without a command-line
// library because each such library keeps a megabyte or more of the program in memory, on a router
// that may have 32 MB (docs/laboratory-design.md has the measurements).
type subcommand struct {
	name string
	// args are its arguments as shown in the help; "" = it takes none.
	args  string
	short string
	long  string
	flags *pflag.FlagSet
	exec  func(args []string) error
}

const serveHelp = `
Without a sub-command the program serves too, with the configuration that GW_CONFIG names.

SIGTERM, SIGINT  accept no new requests, answer the requests in flight, exit with 0
SIGHUP           reload the platform's configuration and the operator file's [admission] section; apply both or neither

If another process already serves at the same address with the same $TMPDIR, it hands over to this one without losing a
request. The exit code is 1 if the router can't start; the message names the setting.`

const checkHelp = `
Reads each file as the router would and prints each mistake as FILE:LINE: SETTING: REASON. Settings that the environment
can provide (GW_NAME and others) are read from there. It opens no sockets and changes nothing.

The exit code is 0 if no file has a mistake, and 2 otherwise.`

const tenantsHelp = `
Requests the state of fair admission from routers at their admin addresses, and prints a table of tenants for each: the
share of all work that each tenant received, the share that it would receive if it became active now, and the results
of its requests: admitted (let in), served, rejected after admission because the fleet had no capacity (turned),
rejected by admission (refused; of these: retries in excess of the retry budget, and clients that returned before their
retry-after was over), and the mean retry-after (told ms).

The exit code is 0 if all routers answered, and 1 otherwise.`

const completionHelp = `
    source <(dockhinge completion bash)`

func newFlagSet() *pflag.FlagSet {
	flags := pflag.NewFlagSet("dockhinge", pflag.ContinueOnError)
	flags.SetOutput(io.Discard) // errors are returned, and run prints the help
	return flags
}

func subcommands(hup <-chan os.Signal, stdout, stderr io.Writer) []subcommand {
	var files configFiles
	serveFlags := newFlagSet()
	serveFlags.StringVar(&files.router, "config", "",
		"path of the platform's configuration, JSON (default: the value of GW_CONFIG)")
	serveFlags.StringVar(&files.operator, "operator", "",
		"path of the operator file, TOML (default: none, only the platform's settings apply)")
	return []subcommand{
		{
			name:  "serve",
			short: "serve until SIGTERM, then answer the requests in flight and exit",
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
			exec:  func(paths []string) error { return checkFiles(paths, stdout, stderr) },
		},
		{
			name:  "tenants",
			args:  "ADDRESS...",
			short: "show the state of fair admission by tenant",
			long:  tenantsHelp,
			flags: newFlagSet(),
			exec:  func(addrs []string) error { return printTenants(addrs, stdout) },
		},
		{
			name:  "version",
			short: "print the versions of the program, the operator file and the hand-over",
			flags: newFlagSet(),
			exec:  func([]string) error { return printVersion(stdout) },
		},
		{
			name:  "completion",
			args:  "bash|zsh|fish",
			short: "print a shell completion script",
			long:  completionHelp,
			flags: newFlagSet(),
			exec: func(shell []string) error {
				return printCompletion(stdout, shell[0], subcommands(nil, stdout, stderr))
			},
		},
	}
}

// run executes a command line. Without arguments, the program serves.
func run(hup <-chan os.Signal, args []string, stdout, stderr io.Writer) error {
	commands := subcommands(hup, stdout, stderr)
	if len(args) == 0 {
		args = []string{"serve"}
	}
	if args[0] == "help" || args[0] == "--help" || args[0] == "-h" {
		return printHelp(stdout, commands)
	}
	if strings.HasPrefix(args[0], "-") { // flags without a sub-command belong to serve
		args = append([]string{"serve"}, args...)
	}
	for _, c := range commands {
		if c.name == args[0] {
			return c.run(args[1:], stdout)
		}
	}
	return fmt.Errorf("unknown sub-command %q; see dockhinge --help", args[0])
}

// printHelp prints one line for each sub-command.
func printHelp(stdout io.Writer, commands []subcommand) error {
	var b strings.Builder
	b.WriteString("A router in front of memcached-speaking cache servers.\n\n")
	for _, c := range commands {
		fmt.Fprintf(&b, "  dockhinge %-24s %s\n", strings.TrimSpace(c.name+" "+c.args), c.short)
	}
	b.WriteString("\nRun dockhinge SUB-COMMAND --help for details; docs/configuration.md describes the files.\n")
	_, err := io.WriteString(stdout, b.String())
	return err
}

// run parses a sub-command's flags and arguments, and executes it.
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
		return fmt.Errorf("%s: takes no arguments, got %q", c.name, rest[0])
	case c.args != "" && len(rest) == 0:
		return fmt.Errorf("%s: %s: missing", c.name, c.args)
	}
	return c.exec(rest)
}

// checkFiles prints the mistakes in each file. The error is errMistakes if there are any.
func checkFiles(paths []string, stdout, stderr io.Writer) error {
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

// checkFile checks an operator file (.toml) or a configuration (any other extension).
func checkFile(path string) error {
	if filepath.Ext(path) == ".toml" {
		_, err := operator.Load(path)
		return err
	}
	return router.Check(path, os.Getenv)
}

func printVersion(stdout io.Writer) error {
	program := revision()
	if info, ok := debug.ReadBuildInfo(); ok {
		program += " " + info.GoVersion
	}
	_, err := fmt.Fprintf(stdout, "dockhinge %s\noperator file %d\nhandover %d\n",
		program, operator.Version, handover.Version)
	return err
}

// revision returns the version that the program was built from.
func revision() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
