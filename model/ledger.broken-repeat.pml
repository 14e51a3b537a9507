/* A proposal is accepted whatever version it is based on, so a repeat that was forgotten is accepted again. */
#define BROKEN_REPEAT
#include "ledger.pml"
