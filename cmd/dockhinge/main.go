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

func main() {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // first of all: unhandled, it ends the program
	switch err := run(hup, os.Args[1:], os.Stdout, os.Stderr); {
	case errors.Is(err, errMistakes):
		os.Exit(2)
	case err != nil:
		fmt.Fprintln(os.Stderr, "dockhinge:", err)
		os.Exit(1)
	}
}

// subcommand is one of the program's. The table of them is walked by hand: of the libraries for it, each keeps a megabyte
// or more of the program in memory on a router that may have 32 (docs/laboratory-design.md has the figures).
type subcommand struct {
	name, args, short, long string
	flags                   *pflag.FlagSet
	exec                    func(args []string) error
}

func subcommands(hup <-chan os.Signal, stdout, stderr io.Writer) []subcommand {
	var o options
	flags := func() *pflag.FlagSet {
		fs := pflag.NewFlagSet("dockhinge", pflag.ContinueOnError)
		fs.SetOutput(io.Discard) // errors are returned, and help is printed here
		return fs
	}
	serving := flags()
	serving.StringVar(&o.config, "config", "", "the platform's configuration, JSON (default: what GW_CONFIG names)")
	serving.StringVar(&o.operator, "operator", "", "the operator file, TOML (default: none, and the platform's ways)")
	return []subcommand{
		{"serve", "", "serve until SIGTERM, then answer what was taken and end", `
Without a sub-command the program serves as well, by the configuration that GW_CONFIG names.

SIGTERM, SIGINT  take nothing new, answer what was taken, end with 0
SIGHUP           read the platform's configuration, and the operator file's [admission], again and take both or none

Started beside a process that serves at the same address and has the same $TMPDIR, it takes over from that one without
losing a request. It ends with 1 where it can't start; the message names the setting.`,
			serving, func([]string) error { return serve(hup, o) }},
		{"check", "FILE...", "check configurations (.json) and operator files (.toml)", `
Reads each file as the router would and prints each mistake as FILE:LINE: SETTING: REASON. What may stand in the
environment (GW_NAME and others) is taken from there. It opens no socket and changes nothing.

It ends with 0 where all is well and with 2 where a file has a mistake.`,
			flags(), func(files []string) error { return check(files, stdout, stderr) }},
		{"tenants", "ADDRESS...", "show who asks and what each was told", `
Asks routers at their second addresses how fair admission stands, and prints a table of the tenants of each: the part of all
work that each was given, the part that is its own were it to want more now, and what became of its requests: let in,
served, turned away by the module for want of room in the fleet, refused at the door (of these: tries again beyond the
retry budget, and clients that came before the time they were told).

It ends with 0 where all routers answered, else with 1.`,
			flags(), func(addrs []string) error { return tenants(addrs, stdout) }},
		{"version", "", "print the versions of the program and of its forms", "",
			flags(), func([]string) error { return version(stdout) }},
		{"completion", "bash|zsh|fish", "print a script that completes this command line", `
    source <(dockhinge completion bash)`,
			flags(), func(shell []string) error { return completion(stdout, shell, subcommands(nil, stdout, stderr)) }},
	}
}

// run carries out a command line.
func run(hup <-chan os.Signal, args []string, stdout, stderr io.Writer) error {
	all := subcommands(hup, stdout, stderr)
	if len(args) == 0 {
		return all[0].exec(nil)
	}
	if args[0] == "help" || args[0] == "--help" || args[0] == "-h" {
		var b strings.Builder
		b.WriteString("A router in front of memcached-speaking cache servers.\n\n")
		for _, c := range all {
			fmt.Fprintf(&b, "  dockhinge %-24s %s\n", strings.TrimSpace(c.name+" "+c.args), c.short)
		}
		b.WriteString("\ndockhinge SUB-COMMAND --help tells more of each; docs/configuration.md tells of the files.\n")
		_, err := io.WriteString(stdout, b.String())
		return err
	}
	if strings.HasPrefix(args[0], "-") { // the flags of serve, as a bare start serves
		args = append([]string{"serve"}, args...)
	}
	for _, c := range all {
		if c.name != args[0] {
			continue
		}
		err := c.flags.Parse(args[1:])
		rest := c.flags.Args()
		switch {
		case errors.Is(err, pflag.ErrHelp):
			_, err = fmt.Fprintf(stdout, "dockhinge %s: %s\n%s\n\n%s", strings.TrimSpace(c.name+" [flags] "+c.args), c.short,
				strings.TrimSuffix(c.long, "\n"), c.flags.FlagUsages())
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
	return fmt.Errorf("%q is no sub-command; see dockhinge --help", args[0])
}

// check prints the mistakes of each file.
func check(files []string, stdout, stderr io.Writer) error {
	var bad error
	for _, f := range files {
		var err error
		if filepath.Ext(f) == ".toml" {
			_, err = operator.Load(f)
		} else {
			err = router.Check(f, os.Getenv)
		}
		if err != nil {
			bad = errMistakes
			fmt.Fprintln(stderr, err)
			continue
		}
		fmt.Fprintf(stdout, "%s: ok\n", f)
	}
	return bad
}

func version(stdout io.Writer) error {
	of := revision()
	if info, ok := debug.ReadBuildInfo(); ok {
		of += " " + info.GoVersion
	}
	_, err := fmt.Fprintf(stdout, "dockhinge %s\noperator file %d\nhandover %d\n", of, operator.Version, handover.Version)
	return err
}

// revision is the version that the program was built from.
func revision() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}

// completion prints a script for a shell: sub-commands first, then the flags of the one that is there, or files.
func completion(stdout io.Writer, shell []string, all []subcommand) error {
	var names, cases, fish strings.Builder
	for _, c := range all {
		names.WriteString(" " + c.name)
		var flags []string
		c.flags.VisitAll(func(f *pflag.Flag) {
			flags = append(flags, "--"+f.Name)
			fmt.Fprintf(&fish, "complete -c dockhinge -n '__fish_seen_subcommand_from %s' -l %s -r -d '%s'\n", c.name, f.Name, f.Usage)
		})
		fmt.Fprintf(&cases, "    %s) words='%s' ;;\n", c.name, strings.Join(flags, " "))
		fmt.Fprintf(&fish, "complete -c dockhinge -n __fish_use_subcommand -a %s -d '%s'\n", c.name, c.short)
	}
	bash := "_dockhinge() {\n  local words='" + strings.TrimSpace(names.String()) + "' word=${COMP_WORDS[COMP_CWORD]}\n" +
		"  if [ \"$COMP_CWORD\" -gt 1 ]; then\n    words=\n    case ${COMP_WORDS[1]} in\n" + cases.String() +
		"    esac\n  fi\n  COMPREPLY=($(compgen -W \"$words\" -- \"$word\"))\n}\ncomplete -o default -F _dockhinge dockhinge\n"
	var err error
	switch shell[0] {
	case "bash":
		_, err = io.WriteString(stdout, bash)
	case "zsh":
		_, err = io.WriteString(stdout, "autoload -U +X bashcompinit && bashcompinit\n"+bash)
	case "fish":
		_, err = io.WriteString(stdout, fish.String())
	default:
		return fmt.Errorf("completion: %q is none of bash, zsh, fish", shell[0])
	}
	return err
}
