/* A proposal is accepted regardless of its base version, so a repeat is accepted twice once its outcome is forgotten. */
#define BROKEN_REPEAT
#include "ledger.pml"
