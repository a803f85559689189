package cmds

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

// newHashCommand returns the command that hashes a key, trimmed of white space, for a declaration or a setting.
func newHashCommand(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "hash FILE",
		Short: "Print the hash of the key in a file, or of standard input for a dash",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			key, err := readInput(args[0])
			if err != nil {
				return err
			}
			sum := sha256.Sum256([]byte(strings.TrimSpace(string(key))))
			_, err = fmt.Fprintln(a.out, hex.EncodeToString(sum[:]))
			return err
		},
	}
}
