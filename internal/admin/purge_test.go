package admin

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An object that is typed in capitals is recorded under the one name that all processes know it by.
func TestPurgeRequestTakesObjectsInEitherCase(t *testing.T) {
	for _, object := range []string{"7f3a9c21e0b4d655", "7F3A9C21E0B4D655", "7f3A9c21E0b4D655"} {
		purge, err := PurgeRequest{Object: object}.purge(1000)
		require.NoError(t, err)
		require.Equal(t, "7f3a9c21e0b4d655", purge.Object)
	}
}
