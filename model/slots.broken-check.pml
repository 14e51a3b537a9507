/* The lease is checked before a pause instead of when the request is sent. */
#define BROKEN_CHECK
#include "slots.pml"
