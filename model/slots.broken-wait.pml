/* A slot that is gained is used at once. */
#define BROKEN_WAIT
#include "slots.pml"
