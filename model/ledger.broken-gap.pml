/* A newcomer takes the first retained record for the next one. */
#define BROKEN_GAP
#include "ledger.pml"
