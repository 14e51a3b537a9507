/* A new process serves intermediate versions before it has read the log to its end. */
#define BROKEN_EARLY
#include "ledger.pml"
