package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/pflag"
)

// bashTemplate is formatted with the names of the sub-commands, and a case with the flags for each.
const bashTemplate = `_dockhinge() {
  local words='%s' word=${COMP_WORDS[COMP_CWORD]}
  if [ "$COMP_CWORD" -gt 1 ]; then
    words=
    case ${COMP_WORDS[1]} in
%s    esac
  fi
  COMPREPLY=($(compgen -W "$words" -- "$word"))
}
complete -o default -F _dockhinge dockhinge
`

// printCompletion prints a script that completes the command line in a shell: first the
// sub-command, then its flags, or files.
func printCompletion(stdout io.Writer, shell string, commands []subcommand) error {
	var script string
	switch shell {
	case "bash":
		script = bashScript(commands)
	case "zsh":
		script = "autoload -U +X bashcompinit && bashcompinit\n" + bashScript(commands)
	case "fish":
		script = fishScript(commands)
	default:
		return fmt.Errorf("completion: %q is not one of bash, zsh, fish", shell)
	}
	_, err := io.WriteString(stdout, script)
	return err
}

func bashScript(commands []subcommand) string {
	var names []string
	var cases strings.Builder
	for _, c := range commands {
		names = append(names, c.name)
		var flags []string
		c.flags.VisitAll(func(f *pflag.Flag) { flags = append(flags, "--"+f.Name) })
		fmt.Fprintf(&cases, "    %s) words='%s' ;;\n", c.name, strings.Join(flags, " "))
	}
	return fmt.Sprintf(bashTemplate, strings.Join(names, " "), cases.String())
}

func fishScript(commands []subcommand) string {
	var script strings.Builder
	for _, c := range commands {
		c.flags.VisitAll(func(f *pflag.Flag) {
			fmt.Fprintf(&script, "complete -c dockhinge -n '__fish_seen_subcommand_from %s' -l %s -r -d '%s'\n",
				c.name, f.Name, f.Usage)
		})
		fmt.Fprintf(&script, "complete -c dockhinge -n __fish_use_subcommand -a %s -d '%s'\n", c.name, c.short)
	}
	return script.String()
}
