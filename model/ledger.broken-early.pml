/* A new process serves from the versions that it passes on its way to the end of the log. */
#define BROKEN_EARLY
#include "ledger.pml"
