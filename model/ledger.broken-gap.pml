/* An entry whose next record is no longer retained continues with the first retained one instead of a snapshot. */
#define BROKEN_GAP
#include "ledger.pml"
