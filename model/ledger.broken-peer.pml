/* An entry takes the state of another one even if that one is behind. */
#define BROKEN_PEER
#include "ledger.pml"
