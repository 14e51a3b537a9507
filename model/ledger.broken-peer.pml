/* An entry restores the state of another one even if that state is older than its own. */
#define BROKEN_PEER
#include "ledger.pml"
