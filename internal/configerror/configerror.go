// Package configerror reports mistakes in files that operators write, with the file, the line, the
// setting and the reason.
package configerror

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// Problem is one mistake in a file. It is an error with the text FILE:LINE: SETTING: REASON.
type Problem struct {
	File string
	// Line is the line number, from 1; 0 = the mistake does not belong to one line.
	Line int
	// Setting is the path of the setting, for example "settings.caps.maxAttempts"; "" = none.
	Setting string
	Reason  string
}

// Error returns FILE:LINE: SETTING: REASON, without the parts that are unknown.
func (p Problem) Error() string {
	location := p.File
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Setting == "" {
		return location + ": " + p.Reason
	}
	return location + ": " + p.Setting + ": " + p.Reason
}

// LineAt returns the number, from 1, of the line that contains the byte at offset.
func LineAt(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:max(0, min(offset, int64(len(text))))], []byte("\n"))
}

// JSONLine returns the number, from 1, of the line in which a setting's value begins in a JSON
// text. If the setting is missing, it returns the line of the innermost enclosing object that
// exists; if the text is not valid JSON, 0.
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

// recordLines records in lines where the decoder's next value, which is the setting path, and all
// values inside it begin.
func recordLines(dec *json.Decoder, text []byte, path string, lines map[string]int) error {
	token, err := dec.Token()
	if err != nil {
		return fmt.Errorf("JSON: %w", err)
	}
	lines[path] = LineAt(text, dec.InputOffset()-1)
	opening, isList := token.(json.Delim)
	if !isList {
		return nil
	}
	for i := 0; dec.More(); i++ {
		inner := fmt.Sprintf("%s[%d]", path, i)
		if opening == '{' {
			key, err := dec.Token()
			if err != nil {
				return fmt.Errorf("JSON: %w", err)
			}
			inner = strings.TrimPrefix(path+"."+fmt.Sprint(key), ".")
		}
		if err := recordLines(dec, text, inner, lines); err != nil {
			return err
		}
	}
	_, err = dec.Token()
	return err
}
