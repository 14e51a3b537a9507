/* The lease is checked before a pause and not when the request is sent. */
#define BROKEN_CHECK
#include "slots.pml"
