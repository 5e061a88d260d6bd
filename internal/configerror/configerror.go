// Package configerror says what is wrong in a file that an operator wrote: the file, the line, the
// setting and the reason.
package configerror

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// Problem is one mistake in a file. It is an error whose text is FILE:LINE: SETTING: REASON.
type Problem struct {
	File string
	// Line counts from 1; 0 = the mistake is not in one line.
	Line int
	// Setting is written with dots, as "settings.caps.maxAttempts"; "" = none.
	Setting string
	Reason  string
}

// Error is FILE:LINE: SETTING: REASON, without the parts that are not known.
func (p Problem) Error() string {
	at := p.File
	if p.Line > 0 {
		at = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Setting == "" {
		return at + ": " + p.Reason
	}
	return at + ": " + p.Setting + ": " + p.Reason
}

// LineAt is the line, from 1, in which the byte at offset stands.
func LineAt(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:max(0, min(offset, int64(len(text))))], []byte("\n"))
}

// JSONLine is the line, from 1, in which a setting's value begins in a JSON text. Of a setting that
// is not there it is the line of the innermost object around it that is; of a text that is not
// JSON, 0.
func JSONLine(text []byte, setting string) int {
	lines := map[string]int{}
	dec := json.NewDecoder(bytes.NewReader(text))
	if recordLines(dec, text, "", lines) != nil {
		return 0
	}
	for {
		if line, ok := lines[setting]; ok {
			return line
		}
		i := strings.LastIndexAny(setting, ".[")
		if i < 0 {
			return lines[""]
		}
		setting = setting[:i]
	}
}

// recordLines records in lines where the decoder's next value, whose setting is at, and all values
// inside it begin.
func recordLines(dec *json.Decoder, text []byte, at string, lines map[string]int) error {
	token, err := dec.Token()
	if err != nil {
		return fmt.Errorf("JSON: %w", err)
	}
	lines[at] = LineAt(text, dec.InputOffset()-1)
	opening, isList := token.(json.Delim)
	if !isList {
		return nil
	}
	for i := 0; dec.More(); i++ {
		inner := fmt.Sprintf("%s[%d]", at, i)
		if opening == '{' {
			key, err := dec.Token()
			if err != nil {
				return fmt.Errorf("JSON: %w", err)
			}
			inner = strings.TrimPrefix(at+"."+fmt.Sprint(key), ".")
		}
		if err := recordLines(dec, text, inner, lines); err != nil {
			return err
		}
	}
	_, err = dec.Token()
	return err
}
